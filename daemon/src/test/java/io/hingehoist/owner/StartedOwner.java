package io.hingehoist.owner;

import io.hingehoist.adapter.JobIntake;
import io.hingehoist.log.DecisionLog;
import io.hingehoist.loop.SleepDetector;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.settings.OwnerSection;
import io.hingehoist.wire.FreeAddresses;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** An owner, and its intake of jobs in place of an adapter. */
record StartedOwner(OwnerNode node, JobIntake intake) {
  static final long RESUBMIT_AFTER_MS = 1_300;
  private static final long TIMEOUT_S = 10;
  private static final double STOP_TIMEOUT_S = 1;
  private static final int MAX_BODY_BYTES = 262_144;

  /** Starts an owner to which hosts connect at an address. */
  static StartedOwner start(EventLoop loop, DecisionLog log, String listenAddress)
      throws Exception {
    return start(loop, log, listenAddress, STOP_TIMEOUT_S, SleepDetector.create());
  }

  /** Starts an owner with a timeout of its planned stop and a detector of sleeps of its box. */
  static StartedOwner start(
      EventLoop loop,
      DecisionLog log,
      String listenAddress,
      double stopTimeoutSeconds,
      SleepDetector sleepDetector)
      throws Exception {
    NodeSection node =
        new NodeSection("o", List.of("owner"), "z", List.of(), 0, "", "", "text", "INFO");
    OwnerSection settings =
        new OwnerSection(
            FreeAddresses.next(),
            "",
            listenAddress,
            "",
            RESUBMIT_AFTER_MS,
            1_000,
            50,
            stopTimeoutSeconds,
            14,
            0,
            "");
    CompletableFuture<JobIntake> intake = new CompletableFuture<>();
    OwnerNode owner =
        OwnerNode.start(
            node,
            settings,
            MAX_BODY_BYTES,
            new IntakeAdapter(intake),
            Metrics.create(),
            log,
            loop,
            sleepDetector);
    return new StartedOwner(owner, intake.get(TIMEOUT_S, TimeUnit.SECONDS));
  }

  /** Starts a log that discards its lines. */
  static DecisionLog discardingLog() {
    return DecisionLog.start(
        "o", new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
  }

  /** Blocks the calling thread for as long as an owner's lease. */
  static void pauseUntilLeaseIsOver() {
    long endMs = EventLoop.nowMs() + RESUBMIT_AFTER_MS;
    while (EventLoop.nowMs() < endMs) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(endMs - EventLoop.nowMs()));
    }
  }
}
