package io.hingehoist.host;

import io.hingehoist.command.DocumentVersion;
import io.hingehoist.control.DocumentNames;
import io.hingehoist.log.DecisionLog;
import io.hingehoist.message.HostWorkers;
import io.hingehoist.message.Message;
import io.hingehoist.message.WorkerRecord;
import io.hingehoist.net.ControlLinks;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Keeps the workers of a host in a document of the log, so that a host that starts again need not
 * wait for them to make themselves known. Nothing waits for it. Owned by the event loop.
 */
final class WorkerMemory {
  private static final long RETRY_MS = 300;

  /** A host that starts asks for so long; by then its workers have made themselves known. */
  private static final long ASK_MS = 3_000;

  private final String hostId;
  private final ControlLinks controls;
  private final DecisionLog log;
  private final Consumer<List<WorkerRecord>> found;
  private final long startedAtMs;
  private List<WorkerRecord> kept = List.of();
  private long version;
  private boolean isRead;
  private boolean busy;
  private long triedAtMs;

  WorkerMemory(
      String hostId,
      ControlLinks controls,
      DecisionLog log,
      Consumer<List<WorkerRecord>> found,
      long nowMs) {
    this.hostId = hostId;
    this.controls = controls;
    this.log = log;
    this.found = found;
    this.startedAtMs = nowMs;
  }

  /** Reads or writes what is due. */
  void onTick(List<WorkerRecord> workers, long nowMs) {
    if (busy || nowMs - triedAtMs < RETRY_MS) {
      return;
    }
    if (!isRead) {
      triedAtMs = nowMs;
      read(nowMs);
    } else if (!workers.equals(kept)) {
      triedAtMs = nowMs;
      write(workers);
    }
  }

  private void read(long nowMs) {
    busy = true;
    controls.read(
        DocumentNames.ofHost(hostId),
        answer -> {
          busy = false;
          if (answer.isPresent()) {
            isRead = true;
            take(answer.get());
          } else if (nowMs - startedAtMs >= ASK_MS) {
            isRead = true;
          }
        });
  }

  private void take(DocumentVersion document) {
    version = document.version();
    Optional<HostWorkers> workers = decode(document);
    if (workers.isPresent()) {
      kept = workers.get().workers();
      log.write("workersRemembered", hostId, "count=" + kept.size() + " version=" + version);
      found.accept(kept);
    }
  }

  private static Optional<HostWorkers> decode(DocumentVersion document) {
    if (document.version() == 0) {
      return Optional.empty();
    }
    try {
      return Message.fromBytes(document.content()) instanceof HostWorkers workers
          ? Optional.of(workers)
          : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private void write(List<WorkerRecord> workers) {
    busy = true;
    long newVersion = Math.max(version + 1, System.currentTimeMillis());
    controls.publish(
        DocumentNames.ofHost(hostId),
        newVersion,
        new HostWorkers(workers).toBytes(),
        held -> {
          busy = false;
          if (held) {
            version = newVersion;
            kept = workers;
          }
        });
  }
}
