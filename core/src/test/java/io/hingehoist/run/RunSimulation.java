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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Owners, hosts, workers and callers, with links that are cut, boxes that stand still and orders
 * that are carried out late, played by a seed. After each step it checks that no worker is over its
 * room and that no task runs twice at the same time.
 */
final class RunSimulation {
  static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final long STEP_MS = 5;
  private static final long HEARTBEAT_PERIOD_MS = 150;
  private static final long RESUBMIT_MS = 1_300;
  private static final long LATE_LIMIT_MS = 12_000;
  private static final long LEAST_SLOW_MS = 20;
  private static final int SLOW_SPREAD_MS = 780;
  private static final Room NEED = new Room(1_600, 100, 0);

  /** Fewer than there are hosts, so that runs are ordered on fresh and on older views. */
  private static final int FOLLOWED_HOSTS = 2;

  /** What may go wrong beside what always does. */
  enum Trouble {
    /** Open connections between owners and hosts fall silent for good. */
    SILENT_CONNECTIONS,
    /** Calls to workers are carried out late, and some starts are refused. */
    SLOW_CALLS,
    /** Connections to a worker are refused while it goes on. */
    REFUSED_CONNECTIONS
  }

  private record Timed(long atMs, long sequence, Runnable action) {}

  final class OwnerBox {
    final String id;
    JobOwner jobs;
    final Map<String, Session> sessions = new HashMap<>();
    long standsUntilMs;
    long lastTickMs;

    OwnerBox(String id) {
      this.id = id;
      this.jobs = newOwner(id);
    }

    boolean stands() {
      return nowMs < standsUntilMs;
    }

    void settle() {
      jobs.place(nowMs);
      for (OwnerEffect effect : jobs.drainEffects()) {
        switch (effect) {
          case OwnerEffect.SendToHost to -> {
            Session session = sessions.get(to.hostId());
            if (session != null) {
              session.toHost(to.message());
            }
          }
          case OwnerEffect.AnswerJob answer -> answered(this, answer.jobId(), answer.end());
          case OwnerEffect.LogDecision noted ->
              trace.add(nowMs + " " + id + " " + noted.decision());
        }
      }
    }
  }

  final class HostBox {
    final String id;
    final long bornMs;
    WorkerHost host;
    FakeWorker worker;
    final Map<Long, Session> sessions = new HashMap<>();
    long standsUntilMs;
    long version;

    /** Until when calls to the worker are slow, some starts refused, or connections refused. */
    long slowUntilMs;

    long shedsUntilMs;
    long refusesUntilMs;

    HostBox(String id) {
      this.id = id;
      this.bornMs = nowMs;
      this.worker = new FakeWorker(id + "-w1", id + ":1");
      restart();
    }

    void restart() {
      host =
          ZoneFixtures.noneEvacuated(
              WorkerHost.create(id, nowMs, "z", TIMING, 1_000 + nowMs, nowMs));
      sessions.values().forEach(session -> session.breakNow());
      sessions.clear();
    }

    boolean stands() {
      return nowMs < standsUntilMs;
    }

    void settle() {
      host.publishWorkers(nowMs);
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
                a -> caller.startCallCompleted(call.workerId(), call.run(), a, nowMs));
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
                a -> caller.stopCallCompleted(call.workerId(), call.run(), a, nowMs));
        case HostEffect.PollCall call -> hold(caller, call, nowMs + call.waitMs());
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
        case HostEffect.CloseConnections forget -> {}
        case HostEffect.LogDecision noted -> trace.add(nowMs + " " + id + " " + noted.decision());
      }
    }

    private void hold(WorkerHost caller, HostEffect.PollCall call, long untilMs) {
      boolean waits =
          worker.up
              && worker.id.equals(call.workerId())
              && nowMs < untilMs
              && !worker.hasNewEnds(call.lastSeen());
      if (waits && caller == host) {
        if (nowMs == untilMs - call.waitMs()) {
          worker.hold(call.deadlineMs(), call.token(), 0, nowMs);
        }
        after(STEP_MS, () -> hold(caller, call, untilMs));
        return;
      }
      callWorker(
          call.workerId(),
          call.options(),
          w -> w.hold(call.deadlineMs(), call.token(), call.lastSeen(), nowMs),
          new PollResult.Unanswered(),
          new PollResult.OtherInstance(),
          new PollResult.ConnectionRefused(),
          a -> caller.pollCallCompleted(call.workerId(), a, nowMs));
    }

    private StartResult start(FakeWorker target, HostEffect.StartCall call) {
      if (nowMs < shedsUntilMs && slowness.nextBoolean()) {
        return new StartResult.Refused(RunRefusal.UNHEALTHY);
      }
      return target.start(call.run(), NEED, runMs(), call.deadlineMs(), call.token(), nowMs);
    }

    private <A> void callWorker(
        String workerId,
        HostEffect.CallOptions options,
        java.util.function.Function<FakeWorker, A> call,
        A unanswered,
        A gone,
        A nobodyThere,
        java.util.function.Consumer<A> answer) {
      WorkerHost caller = host;
      FakeWorker target = worker;
      if (!target.up) {
        reply(caller, 100, () -> answer.accept(dark ? unanswered : nobodyThere));
      } else if (nowMs < refusesUntilMs) {
        reply(caller, 1, () -> answer.accept(nobodyThere));
      } else if (!target.id.equals(workerId)) {
        reply(caller, 1, () -> answer.accept(gone));
      } else if (random.nextInt(1_000) < lateShare) {
        after(
            2_000 + random.nextLong(LATE_LIMIT_MS - 2_000),
            () -> {
              if (target.up) {
                A ignored = call.apply(target);
                trace.add(nowMs + " late " + ignored);
              }
            });
        reply(caller, 150, () -> answer.accept(unanswered));
      } else if (nowMs < slowUntilMs && slowness.nextBoolean()) {
        callSlowly(target, options, call, unanswered, answer);
      } else {
        A result = call.apply(target);
        reply(caller, 1 + random.nextInt(3), () -> answer.accept(result));
      }
    }

    /** The call is carried out in any case, and answered if its host still waits by then. */
    private <A> void callSlowly(
        FakeWorker target,
        HostEffect.CallOptions options,
        java.util.function.Function<FakeWorker, A> call,
        A unanswered,
        java.util.function.Consumer<A> answer) {
      WorkerHost caller = host;
      long delayMs = LEAST_SLOW_MS + slowness.nextInt(SLOW_SPREAD_MS);
      boolean awaited = delayMs < options.timeoutMs();
      after(
          delayMs,
          () -> {
            A result = target.up ? call.apply(target) : unanswered;
            trace.add(nowMs + " slow " + result);
            if (awaited) {
              reply(caller, 1, () -> answer.accept(result));
            }
          });
      if (!awaited) {
        reply(caller, options.timeoutMs(), () -> answer.accept(unanswered));
      }
    }

    /** A box that stands still takes its answers in when it goes on. */
    private void reply(WorkerHost caller, long delayMs, Runnable action) {
      after(
          delayMs,
          () -> {
            if (caller != host) {
              return;
            }
            if (stands()) {
              reply(caller, standsUntilMs - nowMs + 1, action);
              return;
            }
            action.run();
            settle();
          });
    }
  }

  /**
   * A session between an owner and a host; what a cut holds up arrives after it. Its connection may
   * fall silent, with what is on its way; the session goes on on the next one.
   */
  final class Session {
    final long id = ++lastSession;
    final SessionStream ownerStream = SessionStream.create();
    final SessionStream hostStream = SessionStream.create();
    final OpenRuns openRuns = OpenRuns.create();
    long runsSinceMs;
    boolean silent;
    long suspendedAtMs;
    int connection;
    final OwnerBox owner;
    final HostBox box;
    final WorkerHost host;
    boolean openAtOwner = true;
    boolean openAtHost = true;
    long heardByOwnerMs = nowMs;
    long lastToHostMs;
    long lastToOwnerMs;

    Session(OwnerBox owner, HostBox box) {
      this.owner = owner;
      this.box = box;
      this.host = box.host;
    }

    private long delayMs() {
      return 1 + random.nextInt(4);
    }

    private long cutEndsMs() {
      return cuts.getOrDefault(owner.id + box.id, 0L);
    }

    void toHost(Message message) {
      if (message instanceof StartRuns && openRuns.isEmpty()) {
        runsSinceMs = nowMs;
        carryToHost(new OwnerBeat(nowMs, owner.jobs.follows(box.id)));
      }
      openRuns.record(message);
      ownerStream.recordSent(message);
      carryToHost(message);
    }

    private void carryToHost(Message message) {
      if (silent) {
        return;
      }
      int carrier = connection;
      long atMs = Math.max(Math.max(nowMs, cutEndsMs()) + delayMs(), lastToHostMs);
      lastToHostMs = atMs;
      deliver(
          atMs, () -> box.stands() ? box.standsUntilMs : 0, () -> arriveAtHost(message, carrier));
    }

    void toOwner(Message message) {
      hostStream.recordSent(message);
      carryToOwner(message);
    }

    private void carryToOwner(Message message) {
      if (silent) {
        return;
      }
      int carrier = connection;
      long atMs = Math.max(Math.max(nowMs, cutEndsMs()) + delayMs(), lastToOwnerMs);
      lastToOwnerMs = atMs;
      deliver(
          atMs,
          () -> owner.stands() ? owner.standsUntilMs : 0,
          () -> arriveAtOwner(message, carrier));
    }

    private void deliver(long atMs, java.util.function.LongSupplier heldUntil, Runnable action) {
      at(
          atMs,
          () -> {
            long until = heldUntil.getAsLong();
            if (until > nowMs) {
              deliver(until + 1, heldUntil, action);
            } else {
              action.run();
            }
          });
    }

    private void arriveAtHost(Message message, int carrier) {
      if (!openAtHost || box.host != host || carrier != connection) {
        return;
      }
      hostStream.recordReceived(message).ifPresent(this::carryToOwner);
      switch (message) {
        case SessionAck ack -> hostStream.recordAcknowledged(ack.receivedCount());
        case OwnerBeat beat -> host.ownerHeartbeat(id, beat.sentAtMs(), beat.follows(), nowMs);
        case OwnerWaiting news -> host.updateWaitingTasks(id, news, nowMs);
        case StartRuns order -> host.startRuns(id, order, nowMs);
        case StopRun order -> host.stopRun(id, order.run(), nowMs);
        case SessionProof proof -> host.sessionProven(id, proof.number(), proof.sentAtMs(), nowMs);
        default -> throw new IllegalStateException("not for a host: " + message);
      }
      box.settle();
    }

    private void arriveAtOwner(Message message, int carrier) {
      if (!openAtOwner || carrier != connection) {
        return;
      }
      heardByOwnerMs = nowMs;
      openRuns.record(message);
      ownerStream.recordReceived(message).ifPresent(this::carryToHost);
      switch (message) {
        case SessionAck ack -> ownerStream.recordAcknowledged(ack.receivedCount());
        case SessionOpened opened ->
            owner.jobs.sessionOpened(
                box.id, opened.zone(), opened.hostIncarnation(), opened.formerRunsOver());
        case SessionProbe probe -> toHost(new SessionProof(probe.number(), nowMs));
        case HostRows rows -> owner.jobs.hostRowsReceived(box.id, rows, nowMs);
        case RunEnded ended -> owner.jobs.runEnded(box.id, ended, nowMs);
        case WorkerCrashed news -> owner.jobs.workerCrashed(news, nowMs);
        case RunNotStarted report -> owner.jobs.runNotStarted(box.id, report, nowMs);
        default -> throw new IllegalStateException("not for an owner: " + message);
      }
      owner.settle();
    }

    /** The connection carries nothing any more, and each end finds out by itself. */
    void fallSilent() {
      if (silent) {
        return;
      }
      silent = true;
      connection++;
      after(100 + silences.nextInt(400), this::suspendAtOwner);
      after(300 + silences.nextInt(600), this::resume);
    }

    private void suspendAtOwner() {
      if (silent && openAtOwner && suspendedAtMs == 0) {
        suspendedAtMs = nowMs;
        owner.jobs.sessionSuspended(box.id);
        owner.settle();
      }
    }

    /** The host opens another connection; each end says how much it has, and gets the rest. */
    private void resume() {
      if (!openAtHost || box.host != host || !openAtOwner) {
        return;
      }
      if (box.stands() || owner.stands() || cutEndsMs() > nowMs) {
        after(50, this::resume);
        return;
      }
      suspendAtOwner();
      connection++;
      silent = false;
      suspendedAtMs = 0;
      heardByOwnerMs = nowMs;
      ownerStream.recordAcknowledged(hostStream.receivedCount());
      hostStream.recordAcknowledged(ownerStream.receivedCount());
      carryToHost(new OwnerBeat(nowMs, owner.jobs.follows(box.id)));
      ownerStream.unacknowledged().forEach(this::carryToHost);
      hostStream.unacknowledged().forEach(this::carryToOwner);
      owner.jobs.sessionResumed(box.id);
      owner.settle();
      host.sessionResumed(id, nowMs);
      box.settle();
    }

    void closedByHost() {
      openAtHost = false;
      if (!silent) {
        at(Math.max(nowMs, cutEndsMs()) + 2, () -> loseAtOwner(false));
      }
    }

    void loseAtOwner(boolean unheard) {
      loseAtOwner(unheard, nowMs);
    }

    private void loseAtOwner(boolean unheard, long leaseSinceMs) {
      if (openAtOwner) {
        openAtOwner = false;
        owner.sessions.remove(box.id);
        owner.jobs.sessionLost(box.id, unheard, leaseSinceMs);
        if (!silent) {
          at(Math.max(nowMs, cutEndsMs()) + 2, this::endAtHost);
        }
      }
    }

    /** Beats, or gives the session up once the host's lease of this owner may be over. */
    void beatOrGiveUp() {
      if (suspendedAtMs > 0) {
        if (nowMs - suspendedAtMs >= TIMING.ownerLeaseMs()) {
          loseAtOwner(true, suspendedAtMs);
        }
      } else if (nowMs - silentSinceMs() >= sessionMs()) {
        loseAtOwner(true);
      } else if (nowMs
              % (openRuns.isEmpty() ? RunTiming.IDLE_HEARTBEAT_PERIOD_MS : HEARTBEAT_PERIOD_MS)
          < 25) {
        toHost(new OwnerBeat(nowMs, owner.jobs.follows(box.id)));
      }
    }

    private long silentSinceMs() {
      return openRuns.isEmpty() ? heardByOwnerMs : Math.max(heardByOwnerMs, runsSinceMs);
    }

    private long sessionMs() {
      return openRuns.isEmpty() ? RunTiming.IDLE_SESSION_TIMEOUT_MS : TIMING.ownerLeaseMs();
    }

    private void endAtHost() {
      if (openAtHost && box.host == host && !box.stands()) {
        openAtHost = false;
        box.sessions.remove(id);
        host.sessionEnded(id, "closed", nowMs);
        box.settle();
      }
    }

    void breakNow() {
      closedByHost();
    }
  }

  private final class CallersJob {
    final JobPlan plan;
    int ownerIndex;
    String state = "open";
    int attempt;

    CallersJob(JobPlan plan, int ownerIndex) {
      this.plan = plan;
      this.ownerIndex = ownerIndex;
    }
  }

  private final Random random;

  /** A source of its own, so that seeds play the same orders with and without silences. */
  private final Random silences;

  /** Sources of their own as well. */
  private final Random slowness;

  private final Random refusals;

  private final Set<Trouble> troubles;
  private final PriorityQueue<Timed> timeline =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Timed::atMs).thenComparingLong(Timed::sequence));
  private final List<OwnerBox> owners = new ArrayList<>();
  private final List<HostBox> boxes = new ArrayList<>();
  private final Map<String, Long> cuts = new HashMap<>();
  private final Map<String, CallersJob> jobs = new HashMap<>();
  final List<String> trace = new ArrayList<>();
  private final Set<String> ends = new TreeSet<>();
  private long sequence;
  private long lastSession;
  private int lateShare;
  private boolean dark;
  private boolean stopsArriving;
  private int jobCount;
  long nowMs = 1;

  /** Creates a play whose connections break, but never fall silent while new ones work. */
  RunSimulation(long seed) {
    this(seed, Set.of());
  }

  RunSimulation(long seed, Set<Trouble> troubles) {
    this.random = new Random(seed);
    this.silences = new Random(~seed);
    this.slowness = new Random(31 * seed + 7);
    this.refusals = new Random(31 * seed + 11);
    this.troubles = Set.copyOf(troubles);
    this.lateShare = random.nextInt(60);
    for (int i = 0; i < 3; i++) {
      owners.add(new OwnerBox("o" + i));
      boxes.add(new HostBox("h" + i));
    }
  }

  private void at(long atMs, Runnable action) {
    timeline.add(new Timed(Math.max(atMs, nowMs), ++sequence, action));
  }

  private void after(long delayMs, Runnable action) {
    at(nowMs + delayMs, action);
  }

  private long runMs() {
    return 20 + random.nextInt(600);
  }

  /** Plays for a time with faults, then for a while without. */
  void play(long withFaultsMs, long calmMs) {
    long endMs = nowMs + withFaultsMs + calmMs;
    long calmFromMs = nowMs + withFaultsMs;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      while (!timeline.isEmpty() && timeline.peek().atMs() <= nowMs) {
        timeline.remove().action().run();
      }
      boxes.forEach(box -> box.worker.tick(nowMs));
      stopsArriving = nowMs >= calmFromMs;
      if (!stopsArriving) {
        maybeFault();
        maybeSilence();
        maybeSlowCalls();
        maybeRefusedConnections();
        maybeJob();
      } else {
        lateShare = 0;
        boxes.forEach(box -> box.worker.failsAll = false);
      }
      tickAll();
      check();
    }
  }

  private void maybeJob() {
    if (random.nextInt(100) < 6) {
      String id = "%016x".formatted(++jobCount);
      StepPlan step = StepPlan.of(1 + random.nextInt(4), NEED, 300);
      JobPlan plan =
          new JobPlan(id, "q", "s", "spec", random.nextInt(3), 3, 1_000, 20_000, List.of(step));
      CallersJob job = new CallersJob(plan, random.nextInt(owners.size()));
      jobs.put(id, job);
      submit(job);
    }
  }

  private void submit(CallersJob job) {
    OwnerBox owner = owners.get(job.ownerIndex);
    if (owner.stands()) {
      resubmitLater(job);
      return;
    }
    trace.add(nowMs + " submit " + job.plan.jobId() + " to " + owner.id);
    owner.jobs.submit(job.plan, nowMs);
    owner.settle();
  }

  private void resubmitLater(CallersJob job) {
    int attempt = ++job.attempt;
    after(
        RESUBMIT_MS,
        () -> {
          if (job.state.equals("open") && job.attempt == attempt) {
            job.ownerIndex = (job.ownerIndex + 1) % owners.size();
            submit(job);
          }
        });
  }

  private void answered(OwnerBox owner, String jobId, JobEnd end) {
    CallersJob job = jobs.get(jobId);
    if (owners.get(job.ownerIndex) != owner) {
      return;
    }
    if (end instanceof JobEnd.Dropped) {
      resubmitLater(job);
    } else {
      job.state = end.toString();
      ends.add(end.getClass().getSimpleName());
    }
  }

  private void maybeSilence() {
    if (troubles.contains(Trouble.SILENT_CONNECTIONS) && silences.nextInt(1_000) < 8) {
      OwnerBox owner = owners.get(silences.nextInt(owners.size()));
      boolean all = silences.nextInt(4) == 0;
      for (Session session : List.copyOf(owner.sessions.values())) {
        if (all || silences.nextInt(3) == 0) {
          session.fallSilent();
        }
      }
    }
  }

  private void maybeSlowCalls() {
    if (troubles.contains(Trouble.SLOW_CALLS) && slowness.nextInt(1_000) < 12) {
      HostBox box = boxes.get(slowness.nextInt(boxes.size()));
      long untilMs = nowMs + 100 + slowness.nextInt(2_000);
      if (slowness.nextBoolean()) {
        box.slowUntilMs = untilMs;
      } else {
        box.shedsUntilMs = untilMs;
      }
    }
  }

  private void maybeRefusedConnections() {
    if (troubles.contains(Trouble.REFUSED_CONNECTIONS) && refusals.nextInt(1_000) < 4) {
      HostBox box = boxes.get(refusals.nextInt(boxes.size()));
      box.refusesUntilMs = nowMs + 1 + refusals.nextInt(1_500);
    }
  }

  private void maybeFault() {
    if (random.nextInt(1_000) >= 12) {
      return;
    }
    OwnerBox owner = owners.get(random.nextInt(owners.size()));
    HostBox box = boxes.get(random.nextInt(boxes.size()));
    switch (random.nextInt(8)) {
      case 0 -> cut(owner, box);
      case 1 -> standStill(owner);
      case 2 -> standStill(box);
      case 3 -> box.restart();
      case 4 -> killOwner(owner);
      case 5 -> crashWorker(box);
      case 6 -> leave(owner);
      default -> box.worker.failsAll = !box.worker.failsAll;
    }
  }

  private static JobOwner newOwner(String id) {
    return JobOwner.create(TIMING, id, "z", FOLLOWED_HOSTS);
  }

  // What a fault holds up is delivered when it was to end. So a fault on top of another may only
  // lengthen it: were it cut short, later messages would overtake earlier ones on one connection.

  private void cut(OwnerBox owner, HostBox box) {
    cuts.merge(owner.id + box.id, nowMs + 100 + random.nextInt(4_000), Math::max);
  }

  private void standStill(OwnerBox owner) {
    owner.standsUntilMs = Math.max(owner.standsUntilMs, nowMs + 100 + random.nextInt(4_000));
  }

  private void standStill(HostBox box) {
    box.standsUntilMs = Math.max(box.standsUntilMs, nowMs + 100 + random.nextInt(3_000));
  }

  /** The callers of a killed owner see their connections break at once. */
  private void killOwner(OwnerBox owner) {
    owner.jobs = newOwner(owner.id);
    List.copyOf(owner.sessions.values())
        .forEach(
            session -> {
              session.openAtOwner = false;
              at(Math.max(nowMs, session.cutEndsMs()) + 2, session::endAtHost);
            });
    owner.sessions.clear();
    for (CallersJob job : jobs.values()) {
      if (job.state.equals("open") && owners.get(job.ownerIndex) == owner) {
        trace.add(nowMs + " killed " + owner.id + " with " + job.plan.jobId());
        resubmitLater(job);
      }
    }
  }

  private void crashWorker(HostBox box) {
    dark = random.nextBoolean();
    box.worker.crash();
    after(
        500 + random.nextInt(3_000),
        () -> {
          box.worker = new FakeWorker(box.id + "-w" + nowMs, box.id + ":1");
        });
  }

  /** A caller goes, and brings its job to another owner. */
  private void leave(OwnerBox owner) {
    for (CallersJob job : jobs.values()) {
      if (job.state.equals("open") && owners.get(job.ownerIndex) == owner && !owner.stands()) {
        owner.jobs.drop(job.plan.jobId(), "left");
        owner.settle();
        return;
      }
    }
  }

  private void tickAll() {
    for (OwnerBox owner : owners) {
      if (!owner.stands() && nowMs - owner.lastTickMs >= 25) {
        tick(owner);
      }
    }
    for (HostBox box : boxes) {
      if (!box.stands() && nowMs % 25 == 1) {
        tick(box);
      }
    }
  }

  private void tick(OwnerBox owner) {
    boolean stood = nowMs - owner.lastTickMs >= TIMING.ownerLeaseMs();
    owner.lastTickMs = nowMs;
    if (stood) {
      owner.jobs.dropAll("stood still");
      List.copyOf(owner.sessions.values()).forEach(session -> session.loseAtOwner(true));
    }
    for (Session session : List.copyOf(owner.sessions.values())) {
      session.beatOrGiveUp();
    }
    owner.jobs.onTick(nowMs);
    owner.settle();
  }

  private void tick(HostBox box) {
    if (box.worker.up && nowMs % 500 == 1) {
      box.host.workerHeartbeat(box.worker.info(false, ++box.version, nowMs), nowMs);
    }
    for (OwnerBox owner : owners) {
      boolean cut = cuts.getOrDefault(owner.id + box.id, 0L) > nowMs;
      boolean linked =
          box.sessions.values().stream().anyMatch(s -> s.owner == owner && s.openAtOwner);
      if (!cut && !linked && !owner.stands()) {
        connect(owner, box);
      }
    }
    box.host.onTick(nowMs);
    box.settle();
  }

  private void connect(OwnerBox owner, HostBox box) {
    Session session = new Session(owner, box);
    Session former = owner.sessions.get(box.id);
    if (former != null) {
      former.loseAtOwner(false);
    }
    owner.sessions.put(box.id, session);
    box.sessions.put(session.id, session);
    box.host.sessionOpened(session.id, owner.id, nowMs);
    // An owner beats at once when a session begins.
    session.toHost(new OwnerBeat(nowMs, owner.jobs.follows(box.id)));
  }

  private void check() {
    Map<String, String> running = new HashMap<>();
    for (HostBox box : boxes) {
      if (!Rooms.fits(box.worker.used(), FakeWorker.CAPACITY)) {
        throw new AssertionError(nowMs + " " + box.id + " is over its room: " + box.worker.used());
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
                  + traceOf(run.task()));
        }
      }
    }
  }

  private String traceOf(String task) {
    return String.join(
        "\n", trace.stream().filter(line -> line.contains(TaskNames.jobIdOf(task))).toList());
  }

  /** Returns the jobs that have no answer. */
  List<String> openJobs() {
    return jobs.values().stream()
        .filter(job -> job.state.equals("open"))
        .map(job -> job.plan.jobId())
        .toList();
  }

  /** Returns what happened to the first job without an answer. */
  String traceOfOpen() {
    return openJobs().stream().findFirst().map(this::traceOf).orElse("");
  }

  Set<String> ends() {
    return ends;
  }
}
