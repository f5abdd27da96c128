package io.hingehoist.run;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerBeat;
import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.RunRefusal;
import io.hingehoist.message.SessionAck;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.message.SessionProbe;
import io.hingehoist.message.SessionProof;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.StopRun;
import io.hingehoist.message.WorkerCrashed;
import io.hingehoist.run.host.HostEffect;
import io.hingehoist.run.host.PollResult;
import io.hingehoist.run.host.StartResult;
import io.hingehoist.run.host.WorkerHost;
import io.hingehoist.run.host.ZoneFixtures;
import io.hingehoist.run.owner.JobOwner;
import io.hingehoist.run.owner.OwnerEffect;
import io.hingehoist.run.owner.SleepCheck;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Simulates owners, hosts, workers and callers with injected faults: links are cut, processes are
 * paused, and calls are carried out late. The sequence of events is determined by a seed. After
 * each step the simulation checks that no worker exceeds its room and that no task runs twice at
 * the same time.
 */
final class RunSimulation {
  static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final long STEP_MS = 5;
  private static final long HEARTBEAT_INTERVAL_MS = 150;
  private static final long RESUBMIT_AFTER_MS = 1_300;
  private static final long MAX_LATE_CALL_DELAY_MS = 12_000;
  private static final long MIN_SLOW_CALL_MS = 20;
  private static final int SLOW_CALL_SPREAD_MS = 780;
  private static final long MIN_SUSPEND_MS = 50;
  private static final int SUSPEND_SPREAD_MS = 4_950;
  private static final int SUSPEND_IN_SERIES_SPREAD_MS = 950;
  private static final int MAX_SUSPEND_GAP_MS = 60;
  private static final Room NEED = new Room(1_600, 100, 0);

  /** Fewer than there are hosts, so that runs are ordered on recent and on older host views. */
  private static final int FOLLOWED_HOSTS = 2;

  /** Faults that are injected in addition to those that always are. */
  enum Fault {
    /** Open connections between owners and hosts fall silent permanently. */
    SILENT_CONNECTIONS,
    /** Calls to workers are carried out late, and some starts are refused. */
    SLOW_CALLS,
    /** Connections to a worker are refused while its runs continue. */
    REFUSED_CONNECTIONS,
    /** Workers restart under the same id, also at once. Calls in progress end with the instance. */
    WORKER_RESTARTS,
    /** Boxes of owners and hosts are suspended, once or in series, some at the same time. */
    SUSPENDED_BOXES
  }

  private record ScheduledEvent(long atMs, long sequence, Runnable action) {}

  /** A box whose process can be paused, and that can be suspended with its monotonic clock. */
  private abstract class Box {
    final String id;
    final BoxClock clock = new BoxClock();
    long pausedUntilMs;

    Box(String id) {
      this.id = id;
    }

    long clockMs() {
      return clock.nowMs(nowMs);
    }

    long stoppedUntilMs() {
      return Math.max(pausedUntilMs, clock.suspendedUntilMs());
    }

    boolean isPaused() {
      return nowMs < stoppedUntilMs();
    }

    boolean isSuspended() {
      return nowMs < clock.suspendedUntilMs();
    }
  }

  final class OwnerBox extends Box {
    JobOwner jobs;
    SleepCheck sleepCheck = SleepCheck.create();
    final Map<String, Session> sessions = new HashMap<>();
    long lastTickMs;

    OwnerBox(String id) {
      super(id);
      this.jobs = newOwner(id);
    }

    void checkSleep() {
      long sleptMs = clock.sleptMs(nowMs);
      if (sleptMs >= TIMING.ownerLeaseMs() && jobs.jobCount() > 0) {
        List<Session> probed =
            sessions.values().stream()
                .filter(session -> !session.openRuns.isEmpty() && session.suspendedAtMs == 0)
                .toList();
        SessionProbe probe = new SessionProbe(sleepCheck.nextProbeNumber());
        probed.forEach(session -> session.transmitToHost(probe));
        sleepCheck.begin(probed.size(), clockMs());
        trace.add(nowMs + " " + id + " mayHaveSlept ms=" + sleptMs);
      }
    }

    void carryOutEffects() {
      checkSleep();
      if (sleepCheck.isPending()) {
        return;
      }
      jobs.place(clockMs());
      for (OwnerEffect effect : jobs.drainEffects()) {
        switch (effect) {
          case OwnerEffect.SendToHost to -> {
            Session session = sessions.get(to.hostId());
            if (session != null) {
              session.toHost(to.message());
            }
          }
          case OwnerEffect.AnswerJob answer -> answered(this, answer.jobId(), answer.end());
          case OwnerEffect.LogDecision logged ->
              trace.add(nowMs + " " + id + " " + logged.decision());
        }
      }
    }
  }

  final class HostBox extends Box {
    final long startedAtMs;
    WorkerHost host;
    FakeWorker worker;
    final Map<Long, Session> sessions = new HashMap<>();
    long version;

    /**
     * The end times of periods with slow calls, with refused starts and with refused connections.
     */
    long slowCallsUntilMs;

    long refusesStartsUntilMs;
    long refusesConnectionsUntilMs;

    HostBox(String id) {
      super(id);
      this.startedAtMs = nowMs;
      this.worker =
          faults.contains(Fault.WORKER_RESTARTS)
              ? FakeWorker.createInstance(id + "-w", id + ":1", nowMs)
              : FakeWorker.create(id + "-w1", id + ":1");
      restart();
    }

    void restart() {
      host =
          ZoneFixtures.noneEvacuated(
              WorkerHost.create(id, nowMs, "z", TIMING, 1_000 + nowMs, clockMs()));
      sessions.values().forEach(session -> session.breakNow());
      sessions.clear();
    }

    void checkSleep() {
      long sleptMs = clock.sleptMs(nowMs);
      if (sleptMs > 0) {
        host.mayHaveSlept(sleptMs, clockMs());
      }
    }

    void carryOutEffects() {
      host.publishWorkers(clockMs());
      for (HostEffect effect : host.drainEffects()) {
        carryOut(effect);
      }
    }

    private void carryOut(HostEffect effect) {
      WorkerHost caller = host;
      switch (effect) {
        case HostEffect.StartCall call ->
            callWorker(
                call.workerId(),
                call.options(),
                w -> start(w, call),
                new StartResult.Unanswered(),
                new StartResult.OtherInstance(),
                new StartResult.ConnectionRefused(),
                a -> caller.startCallCompleted(call.instanceId(), call.run(), a, clockMs()));
        case HostEffect.StopCall call ->
            callWorker(
                call.workerId(),
                call.options(),
                w -> {
                  w.stop(call.run(), call.token(), nowMs);
                  return true;
                },
                false,
                false,
                false,
                a -> caller.stopCallCompleted(call.instanceId(), call.run(), a, clockMs()));
        case HostEffect.PollCall call -> respondToPoll(caller, worker, call, nowMs + call.waitMs());
        case HostEffect.SendToOwner to -> {
          Session session = sessions.get(to.sessionId());
          if (session != null) {
            session.toOwner(to.message());
          }
        }
        case HostEffect.CloseSession close -> {
          Session session = sessions.remove(close.sessionId());
          if (session != null) {
            session.closedByHost();
          }
        }
        case HostEffect.CloseConnections closed -> {}
        case HostEffect.LogDecision logged -> trace.add(nowMs + " " + id + " " + logged.decision());
      }
    }

    private void respondToPoll(
        WorkerHost caller, FakeWorker called, HostEffect.PollCall call, long untilMs) {
      if (called != worker && called.id.equals(worker.id)) {
        // The crash of the called instance has broken the connection, with or without notice.
        long noticedAfterMs = restartRandom.nextBoolean() ? 1 : call.options().timeoutMs();
        PollResult unanswered = new PollResult.Unanswered();
        reply(
            caller,
            noticedAfterMs,
            () -> caller.pollCallCompleted(call.instanceId(), unanswered, clockMs()));
        return;
      }
      boolean waits =
          worker.up
              && worker.id.equals(call.workerId())
              && nowMs < untilMs
              && !worker.hasNewEnds(call.lastSeen());
      if (waits && caller == host) {
        if (nowMs == untilMs - call.waitMs()) {
          worker.poll(call.deadlineMs(), call.token(), 0, nowMs);
        }
        after(STEP_MS, () -> respondToPoll(caller, called, call, untilMs));
        return;
      }
      callWorker(
          call.workerId(),
          call.options(),
          w -> w.poll(call.deadlineMs(), call.token(), call.lastSeen(), nowMs),
          new PollResult.Unanswered(),
          new PollResult.OtherInstance(),
          new PollResult.ConnectionRefused(),
          a -> caller.pollCallCompleted(call.instanceId(), a, clockMs()));
    }

    private StartResult start(FakeWorker target, HostEffect.StartCall call) {
      if (nowMs < refusesStartsUntilMs && slowCallRandom.nextBoolean()) {
        return new StartResult.Refused(RunRefusal.UNHEALTHY);
      }
      return target.start(call.run(), NEED, runMs(), call.deadlineMs(), call.token(), nowMs);
    }

    private <A> void callWorker(
        String workerId,
        HostEffect.CallOptions options,
        java.util.function.Function<FakeWorker, A> call,
        A unanswered,
        A otherInstance,
        A connectionRefused,
        java.util.function.Consumer<A> answer) {
      WorkerHost caller = host;
      FakeWorker target = worker;
      if (!target.up) {
        reply(caller, 100, () -> answer.accept(unreachable ? unanswered : connectionRefused));
      } else if (nowMs < refusesConnectionsUntilMs) {
        reply(caller, 1, () -> answer.accept(connectionRefused));
      } else if (!target.id.equals(workerId)) {
        reply(caller, 1, () -> answer.accept(otherInstance));
      } else if (random.nextInt(1_000) < lateCallPermille) {
        after(
            2_000 + random.nextLong(MAX_LATE_CALL_DELAY_MS - 2_000),
            () -> {
              if (target.up) {
                A ignored = call.apply(target);
                trace.add(nowMs + " late " + ignored);
              }
            });
        reply(caller, 150, () -> answer.accept(unanswered));
      } else if (nowMs < slowCallsUntilMs && slowCallRandom.nextBoolean()) {
        callSlowly(target, options, call, unanswered, answer);
      } else {
        A result = call.apply(target);
        reply(caller, 1 + random.nextInt(3), () -> answer.accept(result));
      }
    }

    /** The call is always carried out, and answered if the host is still waiting by then. */
    private <A> void callSlowly(
        FakeWorker target,
        HostEffect.CallOptions options,
        java.util.function.Function<FakeWorker, A> call,
        A unanswered,
        java.util.function.Consumer<A> answer) {
      WorkerHost caller = host;
      long delayMs = MIN_SLOW_CALL_MS + slowCallRandom.nextInt(SLOW_CALL_SPREAD_MS);
      boolean isAnswered = delayMs < options.timeoutMs();
      after(
          delayMs,
          () -> {
            A result = target.up ? call.apply(target) : unanswered;
            trace.add(nowMs + " slow " + result);
            if (isAnswered) {
              reply(caller, 1, () -> answer.accept(result));
            }
          });
      if (!isAnswered) {
        reply(caller, options.timeoutMs(), () -> answer.accept(unanswered));
      }
    }

    /** A paused box processes its responses when it resumes. */
    private void reply(WorkerHost caller, long delayMs, Runnable action) {
      after(
          delayMs,
          () -> {
            if (caller != host) {
              return;
            }
            if (isPaused()) {
              reply(caller, stoppedUntilMs() - nowMs + 1, action);
              return;
            }
            checkSleep();
            action.run();
            carryOutEffects();
          });
    }
  }

  /**
   * A session between an owner and a host. Messages that a cut link delays arrive afterwards. The
   * connection may fall silent and lose the messages in flight; the session then continues on the
   * next connection.
   */
  final class Session {
    final long id = ++lastSession;
    final SessionStream ownerStream = SessionStream.create();
    final SessionStream hostStream = SessionStream.create();
    final OpenRuns openRuns = OpenRuns.create();
    long firstOrderAtMs;
    boolean silent;
    long suspendedAtMs;
    int connection;
    final OwnerBox owner;
    final HostBox box;
    final WorkerHost host;
    boolean openAtOwner = true;
    boolean openAtHost = true;
    long lastHeardByOwnerMs;

    /** Messages in order, as those that a fault delays must not overtake one another. */
    final Queue<Runnable> inTransitToHost = new ArrayDeque<>();

    final Queue<Runnable> inTransitToOwner = new ArrayDeque<>();
    long lastToHostMs;
    long lastToOwnerMs;

    Session(OwnerBox owner, HostBox box) {
      this.owner = owner;
      this.box = box;
      this.host = box.host;
      this.lastHeardByOwnerMs = owner.clockMs();
    }

    private long delayMs() {
      return 1 + random.nextInt(4);
    }

    private long cutEndsMs() {
      return cuts.getOrDefault(owner.id + box.id, 0L);
    }

    void toHost(Message message) {
      if (message instanceof StartRuns && openRuns.isEmpty()) {
        firstOrderAtMs = owner.clockMs();
        transmitToHost(new OwnerBeat(owner.clockMs(), owner.jobs.follows(box.id)));
      }
      openRuns.apply(message);
      ownerStream.recordSent(message);
      transmitToHost(message);
    }

    private void transmitToHost(Message message) {
      if (silent) {
        return;
      }
      int sentOnConnection = connection;
      long atMs = Math.max(Math.max(nowMs, cutEndsMs()) + delayMs(), lastToHostMs);
      lastToHostMs = atMs;
      inTransitToHost.add(() -> receiveAtHost(message, sentOnConnection));
      scheduleDelivery(atMs, box::stoppedUntilMs, () -> inTransitToHost.remove().run());
    }

    void toOwner(Message message) {
      hostStream.recordSent(message);
      transmitToOwner(message);
    }

    private void transmitToOwner(Message message) {
      if (silent) {
        return;
      }
      int sentOnConnection = connection;
      long atMs = Math.max(Math.max(nowMs, cutEndsMs()) + delayMs(), lastToOwnerMs);
      lastToOwnerMs = atMs;
      inTransitToOwner.add(() -> receiveAtOwner(message, sentOnConnection));
      scheduleDelivery(atMs, owner::stoppedUntilMs, () -> inTransitToOwner.remove().run());
    }

    private void scheduleDelivery(
        long atMs, java.util.function.LongSupplier receiverPausedUntil, Runnable action) {
      at(
          atMs,
          () -> {
            long until = receiverPausedUntil.getAsLong();
            if (until > nowMs) {
              scheduleDelivery(until + 1, receiverPausedUntil, action);
            } else {
              action.run();
            }
          });
    }

    private void receiveAtHost(Message message, int sentOnConnection) {
      if (!openAtHost || box.host != host || sentOnConnection != connection) {
        return;
      }
      hostStream.recordReceived(message).ifPresent(this::transmitToOwner);
      if (!(message instanceof SessionAck)) {
        box.checkSleep();
      }
      long hostMs = box.clockMs();
      switch (message) {
        case SessionAck ack -> hostStream.recordAcknowledged(ack.receivedCount());
        case OwnerBeat heartbeat ->
            host.ownerHeartbeat(id, heartbeat.sentAtMs(), heartbeat.follows(), hostMs);
        case OwnerWaiting update -> host.updateWaitingTasks(id, update, hostMs);
        case StartRuns order -> host.startRuns(id, order, hostMs);
        case StopRun order -> host.stopRun(id, order.run(), hostMs);
        case SessionProof proof -> host.proofReceived(id, proof.number(), proof.sentAtMs(), hostMs);
        case SessionProbe probe -> host.probeReceived(id, probe.number(), hostMs);
        default -> throw new IllegalStateException("not a message to a host: " + message);
      }
      box.carryOutEffects();
    }

    private void receiveAtOwner(Message message, int sentOnConnection) {
      if (!openAtOwner || sentOnConnection != connection) {
        return;
      }
      lastHeardByOwnerMs = owner.clockMs();
      openRuns.apply(message);
      ownerStream.recordReceived(message).ifPresent(this::transmitToHost);
      long ownerMs = owner.clockMs();
      switch (message) {
        case SessionAck ack -> ownerStream.recordAcknowledged(ack.receivedCount());
        case SessionOpened opened ->
            owner.jobs.sessionOpened(
                box.id, opened.zone(), opened.hostIncarnation(), opened.formerRunsOver());
        case SessionProbe probe -> prove(probe.number());
        case SessionProof proof -> owner.sleepCheck.proofReceived(proof.number());
        case HostRows rows -> owner.jobs.hostRowsReceived(box.id, rows, ownerMs);
        case RunEnded ended -> owner.jobs.runEnded(box.id, ended, ownerMs);
        case WorkerCrashed report -> owner.jobs.workerCrashed(report, ownerMs);
        case RunNotStarted report -> owner.jobs.runNotStarted(box.id, report, ownerMs);
        default -> throw new IllegalStateException("not a message to an owner: " + message);
      }
      owner.carryOutEffects();
    }

    private void prove(long number) {
      owner.checkSleep();
      if (!owner.sleepCheck.isPending()) {
        toHost(new SessionProof(number, owner.clockMs()));
      }
    }

    /** The connection loses all further messages, and each end detects this by itself. */
    void fallSilent() {
      if (silent) {
        return;
      }
      silent = true;
      connection++;
      after(100 + silenceRandom.nextInt(400), this::suspendAtOwner);
      after(300 + silenceRandom.nextInt(600), this::resume);
    }

    private void suspendAtOwner() {
      if (owner.isSuspended()) {
        after(owner.clock.suspendedUntilMs() - nowMs + 1, this::suspendAtOwner);
      } else if (silent && openAtOwner && suspendedAtMs == 0) {
        suspendedAtMs = owner.clockMs();
        owner.jobs.sessionSuspended(box.id);
        owner.carryOutEffects();
      }
    }

    /**
     * The host opens another connection; each end states how many messages it has received, and the
     * other sends the rest.
     */
    private void resume() {
      if (!openAtHost || box.host != host || !openAtOwner) {
        return;
      }
      if (box.isPaused() || owner.isPaused() || cutEndsMs() > nowMs) {
        after(50, this::resume);
        return;
      }
      suspendAtOwner();
      connection++;
      silent = false;
      suspendedAtMs = 0;
      lastHeardByOwnerMs = owner.clockMs();
      ownerStream.recordAcknowledged(hostStream.receivedCount());
      hostStream.recordAcknowledged(ownerStream.receivedCount());
      transmitToHost(new OwnerBeat(owner.clockMs(), owner.jobs.follows(box.id)));
      ownerStream.unacknowledged().forEach(this::transmitToHost);
      hostStream.unacknowledged().forEach(this::transmitToOwner);
      owner.jobs.sessionResumed(box.id);
      owner.carryOutEffects();
      host.sessionResumed(id, box.clockMs());
      box.carryOutEffects();
    }

    void closedByHost() {
      openAtHost = false;
      if (!silent) {
        long atMs = Math.max(nowMs, cutEndsMs()) + 2;
        scheduleDelivery(atMs, owner.clock::suspendedUntilMs, () -> endAtOwner(false));
      }
    }

    void endAtOwner(boolean mayHoldLease) {
      endAtOwner(mayHoldLease, owner.clockMs());
    }

    private void endAtOwner(boolean mayHoldLease, long leaseRenewedAtMs) {
      if (openAtOwner) {
        openAtOwner = false;
        owner.sessions.remove(box.id);
        owner.jobs.sessionLost(box.id, mayHoldLease, leaseRenewedAtMs);
        if (!silent) {
          at(Math.max(nowMs, cutEndsMs()) + 2, this::endAtHost);
        }
      }
    }

    /**
     * Sends a heartbeat, or ends the session once the owner's lease at the host may have expired.
     */
    void sendHeartbeatOrEnd() {
      long ownerMs = owner.clockMs();
      if (suspendedAtMs > 0) {
        if (ownerMs - suspendedAtMs >= TIMING.ownerLeaseMs()) {
          endAtOwner(true, suspendedAtMs);
        }
      } else if (ownerMs - silentSinceMs() >= sessionTimeoutMs()) {
        endAtOwner(true);
      } else if (ownerMs
              % (openRuns.isEmpty() ? RunTiming.IDLE_HEARTBEAT_INTERVAL_MS : HEARTBEAT_INTERVAL_MS)
          < 25) {
        toHost(new OwnerBeat(owner.clockMs(), owner.jobs.follows(box.id)));
      }
    }

    private long silentSinceMs() {
      return openRuns.isEmpty() ? lastHeardByOwnerMs : Math.max(lastHeardByOwnerMs, firstOrderAtMs);
    }

    private long sessionTimeoutMs() {
      return openRuns.isEmpty() ? RunTiming.IDLE_SESSION_TIMEOUT_MS : TIMING.ownerLeaseMs();
    }

    private void endAtHost() {
      if (openAtHost && box.host == host && !box.isPaused()) {
        openAtHost = false;
        box.sessions.remove(id);
        host.sessionEnded(id, "closed", box.clockMs());
        box.carryOutEffects();
      }
    }

    void breakNow() {
      closedByHost();
    }
  }

  private final class SubmittedJob {
    final JobPlan plan;
    int ownerIndex;
    String state = "open";
    int attempt;

    /** Whether the caller has disconnected from its owner, which may not know. */
    boolean callerLeft;

    SubmittedJob(JobPlan plan, int ownerIndex) {
      this.plan = plan;
      this.ownerIndex = ownerIndex;
    }
  }

  private final Random random;

  /** Separate, so that a seed gives the same events with and without silent connections. */
  private final Random silenceRandom;

  /** Separate for the same reason, as is the next. */
  private final Random slowCallRandom;

  private final Random refusalRandom;

  private final Random restartRandom;

  private final Random suspendRandom;

  private final Set<Fault> faults;
  private final PriorityQueue<ScheduledEvent> timeline =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(ScheduledEvent::atMs)
              .thenComparingLong(ScheduledEvent::sequence));
  private final List<OwnerBox> owners = new ArrayList<>();
  private final List<HostBox> boxes = new ArrayList<>();
  private final Map<String, Long> cuts = new HashMap<>();
  private final Map<String, SubmittedJob> jobs = new HashMap<>();
  final List<String> trace = new ArrayList<>();
  private final Set<String> ends = new TreeSet<>();
  private long sequence;
  private long lastSession;
  private int lateCallPermille;
  private boolean unreachable;
  private boolean isFaultFree;
  private int jobCount;
  long nowMs = 1;

  /** Creates a simulation without additional faults: connections break, but never fall silent. */
  RunSimulation(long seed) {
    this(seed, Set.of());
  }

  RunSimulation(long seed, Set<Fault> faults) {
    this.random = new Random(seed);
    this.silenceRandom = new Random(~seed);
    this.slowCallRandom = new Random(31 * seed + 7);
    this.refusalRandom = new Random(31 * seed + 11);
    this.restartRandom = new Random(31 * seed + 13);
    this.suspendRandom = new Random(31 * seed + 17);
    this.faults = Set.copyOf(faults);
    this.lateCallPermille = random.nextInt(60);
    for (int i = 0; i < 3; i++) {
      owners.add(new OwnerBox("o" + i));
      boxes.add(new HostBox("h" + i));
    }
  }

  private void at(long atMs, Runnable action) {
    timeline.add(new ScheduledEvent(Math.max(atMs, nowMs), ++sequence, action));
  }

  private void after(long delayMs, Runnable action) {
    at(nowMs + delayMs, action);
  }

  private long runMs() {
    return 20 + random.nextInt(600);
  }

  /** Runs the simulation for a time with faults and then for a time without. */
  void run(long withFaultsMs, long faultFreeMs) {
    long endMs = nowMs + withFaultsMs + faultFreeMs;
    long faultFreeFromMs = nowMs + withFaultsMs;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      while (!timeline.isEmpty() && timeline.peek().atMs() <= nowMs) {
        timeline.remove().action().run();
      }
      boxes.forEach(box -> box.worker.tick(nowMs));
      isFaultFree = nowMs >= faultFreeFromMs;
      if (!isFaultFree) {
        maybeInjectFault();
        maybeSilenceConnections();
        maybeSlowCalls();
        maybeRefuseConnections();
        maybeRestartWorker();
        maybeSuspendBoxes();
        maybeSubmitJob();
      } else {
        lateCallPermille = 0;
        boxes.forEach(box -> box.worker.failsAll = false);
      }
      tickAll();
      checkInvariants();
    }
  }

  private void maybeSubmitJob() {
    if (random.nextInt(100) < 6) {
      String id = "%016x".formatted(++jobCount);
      StepPlan step = StepPlan.of(1 + random.nextInt(4), NEED, 300);
      JobPlan plan =
          new JobPlan(id, "q", "s", "spec", random.nextInt(3), 3, 1_000, 20_000, List.of(step));
      SubmittedJob job = new SubmittedJob(plan, random.nextInt(owners.size()));
      jobs.put(id, job);
      submit(job);
    }
  }

  private void submit(SubmittedJob job) {
    OwnerBox owner = owners.get(job.ownerIndex);
    if (owner.isPaused()) {
      resubmitLater(job);
      return;
    }
    trace.add(nowMs + " submit " + job.plan.jobId() + " to " + owner.id);
    owner.jobs.submit(job.plan, owner.clockMs());
    owner.carryOutEffects();
  }

  private void resubmitLater(SubmittedJob job) {
    int attempt = ++job.attempt;
    after(
        RESUBMIT_AFTER_MS,
        () -> {
          if (job.state.equals("open") && job.attempt == attempt) {
            job.ownerIndex = (job.ownerIndex + 1) % owners.size();
            job.callerLeft = false;
            submit(job);
          }
        });
  }

  private void answered(OwnerBox owner, String jobId, JobEnd end) {
    SubmittedJob job = jobs.get(jobId);
    if (owners.get(job.ownerIndex) != owner || job.callerLeft) {
      return;
    }
    if (end instanceof JobEnd.Dropped) {
      resubmitLater(job);
    } else {
      job.state = end.toString();
      ends.add(end.getClass().getSimpleName());
    }
  }

  private void maybeSilenceConnections() {
    if (faults.contains(Fault.SILENT_CONNECTIONS) && silenceRandom.nextInt(1_000) < 8) {
      OwnerBox owner = owners.get(silenceRandom.nextInt(owners.size()));
      boolean all = silenceRandom.nextInt(4) == 0;
      for (Session session : List.copyOf(owner.sessions.values())) {
        if (all || silenceRandom.nextInt(3) == 0) {
          session.fallSilent();
        }
      }
    }
  }

  private void maybeSlowCalls() {
    if (faults.contains(Fault.SLOW_CALLS) && slowCallRandom.nextInt(1_000) < 12) {
      HostBox box = boxes.get(slowCallRandom.nextInt(boxes.size()));
      long untilMs = nowMs + 100 + slowCallRandom.nextInt(2_000);
      if (slowCallRandom.nextBoolean()) {
        box.slowCallsUntilMs = untilMs;
      } else {
        box.refusesStartsUntilMs = untilMs;
      }
    }
  }

  private void maybeRefuseConnections() {
    if (faults.contains(Fault.REFUSED_CONNECTIONS) && refusalRandom.nextInt(1_000) < 4) {
      HostBox box = boxes.get(refusalRandom.nextInt(boxes.size()));
      box.refusesConnectionsUntilMs = nowMs + 1 + refusalRandom.nextInt(1_500);
    }
  }

  private void maybeRestartWorker() {
    if (faults.contains(Fault.WORKER_RESTARTS) && restartRandom.nextInt(1_000) < 6) {
      HostBox box = boxes.get(restartRandom.nextInt(boxes.size()));
      boolean atOnce = restartRandom.nextBoolean();
      restartWorker(box, atOnce ? 0 : restartRandom.nextInt(1_500));
    }
  }

  private void restartWorker(HostBox box, long downMs) {
    FakeWorker crashed = box.worker;
    trace.add(nowMs + " " + box.id + " worker crashes, down for " + downMs);
    crashed.crash();
    after(
        downMs,
        () -> {
          if (box.worker == crashed) {
            box.worker = FakeWorker.createInstance(crashed.id, crashed.address, nowMs);
          }
        });
  }

  private void maybeSuspendBoxes() {
    if (!faults.contains(Fault.SUSPENDED_BOXES) || suspendRandom.nextInt(1_000) >= 5) {
      return;
    }
    int count = suspendRandom.nextInt(3) == 0 ? 2 + suspendRandom.nextInt(3) : 1;
    for (int i = 0; i < count; i++) {
      int index = suspendRandom.nextInt(owners.size());
      Box box = suspendRandom.nextBoolean() ? owners.get(index) : boxes.get(index);
      if (suspendRandom.nextBoolean()) {
        suspend(box, MIN_SUSPEND_MS + suspendRandom.nextInt(SUSPEND_SPREAD_MS), 0);
      } else {
        suspend(box, suspendInSeriesMs(), 1 + suspendRandom.nextInt(6));
      }
    }
  }

  private long suspendInSeriesMs() {
    return MIN_SUSPEND_MS + suspendRandom.nextInt(SUSPEND_IN_SERIES_SPREAD_MS);
  }

  private void suspend(Box box, long durationMs, int further) {
    if (box.isSuspended()) {
      return;
    }
    trace.add(nowMs + " suspend " + box.id + " for " + durationMs);
    if (box instanceof OwnerBox owner) {
      breakConnectionsOfCallers(owner, durationMs);
    }
    box.clock.suspend(durationMs, nowMs);
    if (further > 0) {
      at(
          box.clock.suspendedUntilMs() + 1 + suspendRandom.nextInt(MAX_SUSPEND_GAP_MS),
          () -> suspend(box, suspendInSeriesMs(), further - 1));
    }
  }

  /** A suspended owner learns only after it has woken that connections of its callers broke. */
  private void breakConnectionsOfCallers(OwnerBox owner, long suspendedMs) {
    for (SubmittedJob job : jobs.values()) {
      if (job.state.equals("open") && owners.get(job.ownerIndex) == owner && !job.callerLeft) {
        if (suspendRandom.nextBoolean()) {
          after(suspendRandom.nextLong(suspendedMs), () -> callerLeaves(job, owner));
        }
      }
    }
  }

  private void callerLeaves(SubmittedJob job, OwnerBox owner) {
    if (job.callerLeft || !job.state.equals("open") || owners.get(job.ownerIndex) != owner) {
      return;
    }
    job.callerLeft = true;
    resubmitLater(job);
    long wakesInMs = owner.clock.suspendedUntilMs() - nowMs;
    long retransmissionMs = suspendRandom.nextLong(Math.max(1, wakesInMs));
    learnThatCallerLeft(job, owner, owner.jobs, wakesInMs + retransmissionMs);
  }

  private void learnThatCallerLeft(
      SubmittedJob job, OwnerBox owner, JobOwner process, long delayMs) {
    after(
        delayMs,
        () -> {
          if (owner.isPaused()) {
            learnThatCallerLeft(job, owner, process, owner.stoppedUntilMs() - nowMs + 1);
          } else if (owner.jobs == process) {
            process.drop(job.plan.jobId(), "left");
            owner.carryOutEffects();
          }
        });
  }

  private void maybeInjectFault() {
    if (random.nextInt(1_000) >= 12) {
      return;
    }
    OwnerBox owner = owners.get(random.nextInt(owners.size()));
    HostBox box = boxes.get(random.nextInt(boxes.size()));
    switch (random.nextInt(8)) {
      case 0 -> cutLink(owner, box);
      case 1 -> pause(owner);
      case 2 -> pause(box);
      case 3 -> restart(box);
      case 4 -> killOwner(owner);
      case 5 -> crashWorker(box);
      case 6 -> disconnectCaller(owner);
      default -> box.worker.failsAll = !box.worker.failsAll;
    }
  }

  private void restart(HostBox box) {
    if (!box.isSuspended()) {
      box.clock.processStarted(nowMs);
      box.restart();
    }
  }

  private static JobOwner newOwner(String id) {
    return JobOwner.create(TIMING, id, "z", FOLLOWED_HOSTS);
  }

  // Messages that a fault delays are scheduled for the end of the fault. A further fault may
  // therefore only extend it. If it ended earlier, later messages would overtake earlier ones on
  // the same connection.

  private void cutLink(OwnerBox owner, HostBox box) {
    cuts.merge(owner.id + box.id, nowMs + 100 + random.nextInt(4_000), Math::max);
  }

  private void pause(OwnerBox owner) {
    owner.pausedUntilMs = Math.max(owner.pausedUntilMs, nowMs + 100 + random.nextInt(4_000));
  }

  private void pause(HostBox box) {
    box.pausedUntilMs = Math.max(box.pausedUntilMs, nowMs + 100 + random.nextInt(3_000));
  }

  /** The callers of a killed owner notice immediately, as their connections are closed. */
  private void killOwner(OwnerBox owner) {
    if (owner.isSuspended()) {
      return;
    }
    owner.clock.processStarted(nowMs);
    owner.sleepCheck = SleepCheck.create();
    owner.jobs = newOwner(owner.id);
    List.copyOf(owner.sessions.values())
        .forEach(
            session -> {
              session.openAtOwner = false;
              at(Math.max(nowMs, session.cutEndsMs()) + 2, session::endAtHost);
            });
    owner.sessions.clear();
    for (SubmittedJob job : jobs.values()) {
      if (job.state.equals("open") && owners.get(job.ownerIndex) == owner) {
        trace.add(nowMs + " killed " + owner.id + " with " + job.plan.jobId());
        resubmitLater(job);
      }
    }
  }

  private void crashWorker(HostBox box) {
    unreachable = random.nextBoolean();
    if (faults.contains(Fault.WORKER_RESTARTS)) {
      restartWorker(box, 500 + random.nextInt(3_000));
      return;
    }
    box.worker.crash();
    after(
        500 + random.nextInt(3_000),
        () -> {
          box.worker = FakeWorker.create(box.id + "-w" + nowMs, box.id + ":1");
        });
  }

  /** Disconnects a caller, which then submits its job to another owner. */
  private void disconnectCaller(OwnerBox owner) {
    for (SubmittedJob job : jobs.values()) {
      if (job.state.equals("open") && owners.get(job.ownerIndex) == owner && !owner.isPaused()) {
        owner.jobs.drop(job.plan.jobId(), "left");
        owner.carryOutEffects();
        return;
      }
    }
  }

  private void tickAll() {
    for (OwnerBox owner : owners) {
      if (!owner.isPaused() && owner.clockMs() - owner.lastTickMs >= 25) {
        tick(owner);
      }
    }
    for (HostBox box : boxes) {
      if (!box.isPaused() && nowMs % 25 == 1) {
        tick(box);
      }
    }
  }

  private void tick(OwnerBox owner) {
    owner.checkSleep();
    long ownerMs = owner.clockMs();
    boolean wasPaused = ownerMs - owner.lastTickMs >= TIMING.ownerLeaseMs();
    owner.lastTickMs = ownerMs;
    if (wasPaused || owner.sleepCheck.hasSlept(ownerMs)) {
      owner.jobs.dropAll("owner was paused");
      List.copyOf(owner.sessions.values()).forEach(session -> session.endAtOwner(true));
    }
    for (Session session : List.copyOf(owner.sessions.values())) {
      session.sendHeartbeatOrEnd();
    }
    owner.jobs.onTick(ownerMs);
    owner.carryOutEffects();
  }

  private void tick(HostBox box) {
    box.checkSleep();
    if (box.worker.up && nowMs % 500 == 1) {
      box.host.workerHeartbeat(box.worker.info(false, ++box.version, nowMs), box.clockMs());
    }
    for (OwnerBox owner : owners) {
      boolean isCut = cuts.getOrDefault(owner.id + box.id, 0L) > nowMs;
      boolean linked =
          box.sessions.values().stream().anyMatch(s -> s.owner == owner && s.openAtOwner);
      if (!isCut && !linked && !owner.isPaused()) {
        connect(owner, box);
      }
    }
    box.host.onTick(box.clockMs());
    box.carryOutEffects();
  }

  private void connect(OwnerBox owner, HostBox box) {
    Session session = new Session(owner, box);
    Session former = owner.sessions.get(box.id);
    if (former != null) {
      former.endAtOwner(false);
    }
    owner.sessions.put(box.id, session);
    box.sessions.put(session.id, session);
    box.host.sessionOpened(session.id, owner.id, box.clockMs());
    // An owner sends a heartbeat immediately when a session opens.
    session.toHost(new OwnerBeat(owner.clockMs(), owner.jobs.follows(box.id)));
  }

  private void checkInvariants() {
    Map<String, String> running = new HashMap<>();
    for (HostBox box : boxes) {
      if (!Rooms.fits(box.worker.used(), FakeWorker.CAPACITY)) {
        throw new AssertionError(nowMs + " " + box.id + " exceeds its room: " + box.worker.used());
      }
      for (RunRef run : box.worker.runs.keySet()) {
        String other = running.put(run.task(), box.id + " run " + run.number());
        if (other != null) {
          throw new AssertionError(
              nowMs
                  + " "
                  + run.task()
                  + " runs twice: "
                  + other
                  + ", "
                  + box.id
                  + " run "
                  + run.number()
                  + "\n"
                  + traceOfJob(run.task()));
        }
      }
    }
  }

  private String traceOfJob(String task) {
    return String.join(
        "\n", trace.stream().filter(line -> line.contains(TaskNames.jobIdOf(task))).toList());
  }

  /** Returns the ids of the unanswered jobs. */
  List<String> openJobs() {
    return jobs.values().stream()
        .filter(job -> job.state.equals("open"))
        .map(job -> job.plan.jobId())
        .toList();
  }

  /** Returns the trace of the first unanswered job. */
  String traceOfFirstOpenJob() {
    return openJobs().stream().findFirst().map(this::traceOfJob).orElse("");
  }

  Set<String> ends() {
    return ends;
  }
}
