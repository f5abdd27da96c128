package io.hingehoist.run;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerWaiting;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.StopRun;
import io.hingehoist.run.host.HostEffect;
import io.hingehoist.run.host.PollResult;
import io.hingehoist.run.host.StartResult;
import io.hingehoist.run.host.WorkerHost;
import io.hingehoist.run.host.WorkerInfo;
import io.hingehoist.run.host.ZoneFixtures;
import io.hingehoist.run.load.UrgentReservation;
import io.hingehoist.run.owner.JobOwner;
import io.hingehoist.run.owner.OwnerEffect;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.DoubleStream;

/**
 * Owners that share workers under a load near or over their room, some of which may stand still or
 * be slow for a time, to weigh policies of order and placement: the share of the worth that is
 * earned, by a seed and the same each time.
 *
 * <p>Three kinds of job come, as on the users' platform: many short tasks first in priority, then
 * pairs of middling ones, then a few long ones. A job earns its worth if it is complete by its
 * objective, a fifth of it up to three times as late.
 */
final class LoadSimulation {
  private static final long LINK_MS = 1;
  private static final long WORKER_MS = 1;
  private static final long TICK_MS = 50;
  private static final double LATE_WORTH = 0.2;
  private static final double EARLY_REFUSAL_PRICE = 0.14;
  private static final int LATE_FACTOR = 3;
  private static final long BURST_LENGTH_MS = 10_000;
  private static final long UNEVEN_LENGTH_MS = 13_000;

  /** The time after which callers are gone. */
  private static final long DEADLINE_MS = 1_500;

  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final double ESTIMATE_SPREAD = 0.4;
  private static final double CPU_SPREAD = 0.2;

  /** One kind of job. */
  private record Kind(int priority, double perSecond, int width, long taskMs, double worth) {}

  /** What comes each second on eleven workers. */
  enum Mix {
    /** Each kind is worth the same in all; some two thirds of the room are used. */
    EVEN(
        new Kind(0, 24.1, 8, 86, 0.0291),
        new Kind(1, 70, 2, 286, 0.01),
        new Kind(2, 4.37, 4, 1_286, 0.16)),
    /** Half of the worth and of the work is in the long tasks, which come last in priority. */
    MOSTLY_LONG(
        new Kind(0, 19.6, 8, 86, 0.0291),
        new Kind(1, 57.5, 2, 286, 0.01),
        new Kind(2, 7.8, 4, 1_286, 0.16));

    private final List<Kind> kinds;

    Mix(Kind... kinds) {
      this.kinds = List.of(kinds);
    }
  }

  /**
   * A time in which some workers do less.
   *
   * @param workerShare the share of the workers, of those that were made first
   * @param speed what is done in a unit of time; 0 stands still
   */
  record Trouble(double workerShare, double speed, long fromMs, long untilMs) {
    static final Trouble NONE = new Trouble(0, 1, 0, 0);

    /** Returns the work that is done between two moments. */
    private double workedMs(long beganAtMs, long nowMs) {
      long troubledMs = Math.max(0, Math.min(nowMs, untilMs) - Math.max(beganAtMs, fromMs));
      return nowMs - beganAtMs - (1 - speed) * troubledMs;
    }

    /** Returns when some work that begins at a moment is done. */
    private long endsAtMs(long beganAtMs, long workMs) {
      long endsAtMs = beganAtMs + workMs;
      while (workedMs(beganAtMs, endsAtMs) < workMs) {
        endsAtMs += Math.max(1, (long) (workMs - workedMs(beganAtMs, endsAtMs)));
      }
      return endsAtMs;
    }
  }

  /**
   * A time in which more comes than usual.
   *
   * @param priority the kind of which more comes; any below 0 for all kinds
   */
  record Burst(int priority, double factor, long fromMs, long untilMs) {
    static final Burst NONE = new Burst(-1, 1, 0, 0);

    private double factorOf(Kind kind, long nowMs) {
      boolean meant = priority < 0 || priority == kind.priority();
      return meant && nowMs >= fromMs && nowMs < untilMs ? factor : 1;
    }
  }

  /** How many callers were served in time, late, and not at all; and of these, with room free. */
  record Served(int inTime, int late, int unserved, int unservedWithRoom) {
    static final Served NOBODY = new Served(0, 0, 0, 0);

    private static Served of(boolean isInTime, boolean isLate, boolean hasRoom) {
      boolean isUnserved = !isInTime && !isLate;
      return new Served(
          isInTime ? 1 : 0, isLate ? 1 : 0, isUnserved ? 1 : 0, isUnserved && hasRoom ? 1 : 0);
    }

    private Served plus(Served other) {
      return new Served(
          inTime + other.inTime,
          late + other.late,
          unserved + other.unserved,
          unservedWithRoom + other.unservedWithRoom);
    }

    /** Returns the share of callers that got no answer of use. */
    double unservedShare() {
      return (double) unserved / Math.max(1, inTime + late + unserved);
    }
  }

  /**
   * What is uneven of workers, tasks and demand.
   *
   * @param speeds of the workers in turn, for good; 1 is usual
   * @param tailShare the share of tasks that take up to seven times as long as their like
   * @param swing by how much of its mean demand goes up and down
   */
  record Unevenness(List<Double> speeds, double tailShare, double swing) {
    static final Unevenness NONE = new Unevenness(List.of(1.0), 0, 0);
    private static final double SWING_PERIOD_MS = 13_000;
    private static final double MAX_TAIL_ADDED = 6;

    private double speedOf(int worker) {
      return speeds.get(worker % speeds.size());
    }

    private double demandAt(long nowMs) {
      return 1 - swing * Math.cos(2 * Math.PI * nowMs / SWING_PERIOD_MS);
    }

    private double tail(Random random) {
      return tailShare > 0 && random.nextDouble() < tailShare
          ? 1 + MAX_TAIL_ADDED * random.nextDouble()
          : 1;
    }
  }

  private record Timed(long atMs, long sequence, Runnable action) {}

  private record Caller(Kind kind, JobPlan plan, long sentAtMs, long objectiveMs) {}

  /** A host with one worker, which runs what it is told and lists the ends. */
  private final class Host {
    private final String id;
    private final WorkerHost decisions;
    private final Room capacity;
    private final Map<RunRef, Long> runs = new LinkedHashMap<>();
    private final List<PollResult.Ended> ended = new ArrayList<>();
    private final Trouble trouble;
    private final double speed;
    private final Map<Integer, OpenRuns> openRuns = new HashMap<>();
    private final Map<Integer, Long> beatAtMs = new HashMap<>();
    private Optional<HostEffect.PollCall> openHold = Optional.empty();

    private Host(String id, Room capacity, Trouble trouble, double speed) {
      this.speed = speed;
      this.id = id;
      this.trouble = trouble;
      this.capacity = capacity;
      this.decisions =
          ZoneFixtures.noneEvacuated(WorkerHost.create(id, 1, "z", TIMING, 1, -10_000));
      decisions.workerHeartbeat(
          new WorkerInfo(id + "-w", "s", id, "z", false, capacity, List.of("a"), 1, 1), nowMs);
    }

    private void take(int owner, Message message) {
      if (message instanceof StartRuns && openRuns(owner).isEmpty()) {
        beat(owner);
      }
      openRuns(owner).record(message);
      switch (message) {
        case OwnerWaiting news -> decisions.updateWaitingTasks(owner, news, nowMs);
        case StartRuns order -> {
          orders++;
          decisions.startRuns(owner, order, nowMs);
        }
        case StopRun stop -> decisions.stopRun(owner, stop.run(), nowMs);
        default -> throw new IllegalStateException("not for a host: " + message);
      }
      settle();
    }

    private void beat() {
      for (int owner = 0; owner < owners.size(); owner++) {
        long periodMs =
            openRuns(owner).isEmpty()
                ? RunTiming.IDLE_HEARTBEAT_PERIOD_MS
                : RunTiming.HEARTBEAT_PERIOD_MS;
        if (nowMs - beatAtMs.getOrDefault(owner, -periodMs) >= periodMs) {
          beat(owner);
        }
      }
      settle();
      after(TICK_MS, this::beat);
    }

    private void beat(int owner) {
      beats++;
      beatAtMs.put(owner, nowMs);
      decisions.ownerHeartbeat(owner, nowMs, owners.get(owner).follows(id), nowMs);
    }

    private OpenRuns openRuns(int owner) {
      return openRuns.computeIfAbsent(owner, o -> OpenRuns.create());
    }

    private void tick() {
      decisions.onTick(nowMs);
      settle();
      after(TICK_MS, this::tick);
    }

    private void settle() {
      decisions.publishWorkers(nowMs);
      decisions.drainEffects().forEach(this::carryOut);
    }

    private void carryOut(HostEffect effect) {
      switch (effect) {
        case HostEffect.StartCall call -> after(WORKER_MS, () -> start(call));
        case HostEffect.PollCall call -> after(WORKER_MS, () -> hold(call));
        case HostEffect.SendToOwner to -> after(LINK_MS, () -> arrive((int) to.sessionId(), to));
        case HostEffect.StopCall call -> after(WORKER_MS, () -> stop(call));
        case HostEffect.CloseSession close -> throw new IllegalStateException("lease over");
        case HostEffect.CloseConnections forget -> {}
        case HostEffect.LogDecision noted -> {}
      }
    }

    private void arrive(int owner, HostEffect.SendToOwner to) {
      JobOwner jobs = owners.get(owner);
      openRuns(owner).record(to.message());
      switch (to.message()) {
        case SessionOpened opened ->
            jobs.sessionOpened(id, opened.zone(), 1, opened.formerRunsOver());
        case HostRows rows -> {
          rowsShown++;
          jobs.hostRowsReceived(id, rows, nowMs);
        }
        case RunEnded end -> jobs.runEnded(id, end, nowMs);
        case RunNotStarted report -> {
          refusals++;
          jobs.runNotStarted(id, report, nowMs);
        }
        default -> throw new IllegalStateException("not for an owner: " + to.message());
      }
      LoadSimulation.this.settle(owner);
    }

    private void start(HostEffect.StartCall call) {
      runs.put(call.run(), nowMs);
      decisions.startCallCompleted(id + "-w", call.run(), new StartResult.Started(nowMs), nowMs);
      long runMs = Math.max(1, (long) (workMs.get(call.run().task()) / speed));
      at(trouble.endsAtMs(nowMs, runMs), () -> end(call.run(), RunEnd.DONE));
      settle();
    }

    private boolean hasRoomFor(long cpuMilli) {
      long usedMilli = runs.keySet().stream().mapToLong(run -> cpuOf.get(run.task())).sum();
      return trouble.speed() > 0 && usedMilli + cpuMilli <= capacity.cpuMilli();
    }

    private void stop(HostEffect.StopCall call) {
      decisions.stopCallCompleted(id + "-w", call.run(), true, nowMs);
      end(call.run(), RunEnd.STOPPED);
      settle();
    }

    private void end(RunRef run, RunEnd how) {
      if (runs.remove(run) != null) {
        ended.add(new PollResult.Ended(ended.size() + 1, run, how));
        openHold.ifPresent(this::answer);
      }
    }

    private void hold(HostEffect.PollCall call) {
      openHold = Optional.of(call);
      if (call.lastSeen() < ended.size()) {
        answer(call);
      } else {
        after(call.waitMs(), () -> openHold.filter(call::equals).ifPresent(this::answer));
      }
    }

    private List<PollResult.Running> running() {
      List<PollResult.Running> rows = new ArrayList<>();
      runs.forEach(
          (run, beganAtMs) -> {
            double workedMs = speed * trouble.workedMs(beganAtMs, nowMs);
            double share = workedMs / Math.max(1, workMs.get(run.task()));
            rows.add(new PollResult.Running(run, (int) Math.min(99, 100 * share)));
          });
      return rows;
    }

    private void answer(HostEffect.PollCall call) {
      openHold = Optional.empty();
      List<PollResult.Ended> news = List.copyOf(ended.subList((int) call.lastSeen(), ended.size()));
      PollResult answer = new PollResult.Listed(nowMs, running(), news);
      after(
          WORKER_MS,
          () -> {
            decisions.pollCallCompleted(id + "-w", answer, nowMs);
            settle();
          });
    }
  }

  private final Unevenness uneven;
  private final Random random;
  private final PriorityQueue<Timed> timeline =
      new PriorityQueue<>(Comparator.comparingLong(Timed::atMs).thenComparingLong(Timed::sequence));
  private final List<JobOwner> owners = new ArrayList<>();
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Map<String, Caller> callers = new HashMap<>();
  private final Map<String, Long> workMs = new HashMap<>();
  private final Mix mix;
  private final double[] owed;
  private final double[] earned;
  private long sequence;
  private long refusals;
  private long rowsShown;
  private long beats;
  private long orders;
  private double heldWorth;
  private final Map<Integer, Served> served = new HashMap<>();
  private Burst burst = Burst.NONE;
  private List<Double> ownerShares = List.of();
  private final Map<String, Integer> ownerOf = new HashMap<>();
  private final Map<Integer, Double> owedByOwner = new HashMap<>();
  private final Map<Integer, Double> earnedByOwner = new HashMap<>();
  private final Map<String, Long> cpuOf = new HashMap<>();
  private long nowMs = 1;
  private int jobCount;

  private LoadSimulation(
      long seed,
      Mix mix,
      int ownerCount,
      int hostCount,
      int followedHosts,
      Trouble trouble,
      Unevenness uneven) {
    this(seed, mix, ownerCount, hostCount, followedHosts, trouble, uneven, 0);
  }

  private LoadSimulation(
      long seed,
      Mix mix,
      int ownerCount,
      int hostCount,
      int followedHosts,
      Trouble trouble,
      Unevenness uneven,
      int reservedPercent) {
    this.uneven = uneven;
    this.random = new Random(seed);
    this.mix = mix;
    this.owed = new double[mix.kinds.size()];
    this.earned = new double[mix.kinds.size()];
    for (int i = 0; i < ownerCount; i++) {
      owners.add(
          JobOwner.create(
              TIMING, "o" + i, "z", followedHosts, UrgentReservation.ofPercent(reservedPercent)));
    }
    for (int i = 0; i < hostCount; i++) {
      long cpu = i % 3 == 2 ? 24_000 : 16_000;
      Trouble mine = i < trouble.workerShare() * hostCount ? trouble : Trouble.NONE;
      Room room = new Room(cpu, 64_000, 0);
      hosts.put("h" + i, new Host("h" + i, room, mine, uneven.speedOf(i)));
    }
  }

  /**
   * Plays a load without trouble.
   *
   * @param loadFactor the load as a multiple of the usual one, which fills some two thirds of the
   *     room of eleven workers
   */
  static LoadSimulation play(
      long seed, int ownerCount, int hostCount, double loadFactor, long lengthMs) {
    return play(seed, ownerCount, hostCount, hostCount, loadFactor, lengthMs, Trouble.NONE);
  }

  /** Plays a load on owners that follow some of the hosts closely, with a trouble of workers. */
  static LoadSimulation play(
      long seed,
      int ownerCount,
      int hostCount,
      int followedHosts,
      double loadFactor,
      long lengthMs,
      Trouble trouble) {
    return play(
        seed, Mix.EVEN, ownerCount, hostCount, followedHosts, loadFactor, lengthMs, trouble);
  }

  /** Plays a mix of work. */
  static LoadSimulation play(
      long seed,
      Mix mix,
      int ownerCount,
      int hostCount,
      int followedHosts,
      double loadFactor,
      long lengthMs,
      Trouble trouble) {
    LoadSimulation load =
        new LoadSimulation(
            seed, mix, ownerCount, hostCount, followedHosts, trouble, Unevenness.NONE);
    load.run(loadFactor, lengthMs);
    return load;
  }

  /** Plays a burst on top of a load on owners that keep room for urgent work. */
  static LoadSimulation playReserved(
      long seed,
      int ownerCount,
      int hostCount,
      int followedHosts,
      double loadFactor,
      Burst burst,
      Trouble trouble,
      int reservedPercent) {
    LoadSimulation load =
        new LoadSimulation(
            seed,
            Mix.EVEN,
            ownerCount,
            hostCount,
            followedHosts,
            trouble,
            Unevenness.NONE,
            reservedPercent);
    load.burst = burst;
    load.run(loadFactor * hostCount / 11, BURST_LENGTH_MS);
    return load;
  }

  /** Plays a burst on top of a load, with a trouble of workers. */
  static LoadSimulation playBurst(
      long seed,
      int ownerCount,
      int hostCount,
      int followedHosts,
      double loadFactor,
      Burst burst,
      Trouble trouble) {
    LoadSimulation load =
        new LoadSimulation(
            seed, Mix.EVEN, ownerCount, hostCount, followedHosts, trouble, Unevenness.NONE);
    load.burst = burst;
    load.run(loadFactor * hostCount / 11, BURST_LENGTH_MS);
    return load;
  }

  /** Plays a load on an uneven fleet whose owners get these shares of the callers. */
  static LoadSimulation playUnequalOwners(
      long seed, List<Double> ownerShares, int hostCount, int followedHosts, double loadFactor) {
    Unevenness uneven = new Unevenness(List.of(0.6, 1.0, 1.6), 0.03, 0.55);
    int ownerCount = ownerShares.size();
    LoadSimulation load =
        new LoadSimulation(
            seed, Mix.EVEN, ownerCount, hostCount, followedHosts, Trouble.NONE, uneven);
    load.ownerShares = ownerShares;
    load.run(loadFactor * hostCount / 11, UNEVEN_LENGTH_MS);
    return load;
  }

  /** Returns the share of the worth that was in time at some owners, from one to before another. */
  double inTimeShareOf(int fromOwner, int toOwner) {
    double owedThere = 0;
    double earnedThere = 0;
    for (int owner = fromOwner; owner < toOwner; owner++) {
      owedThere += owedByOwner.getOrDefault(owner, 0.0);
      earnedThere += earnedByOwner.getOrDefault(owner, 0.0);
    }
    return earnedThere / owedThere;
  }

  /** Plays a load on an uneven fleet. */
  static LoadSimulation playUneven(
      long seed,
      int ownerCount,
      int hostCount,
      int followedHosts,
      double loadFactor,
      Unevenness uneven) {
    LoadSimulation load =
        new LoadSimulation(
            seed, Mix.EVEN, ownerCount, hostCount, followedHosts, Trouble.NONE, uneven);
    load.run(loadFactor * hostCount / 11, UNEVEN_LENGTH_MS);
    return load;
  }

  /** Returns how callers fared. */
  Served served() {
    return served.values().stream().reduce(Served.NOBODY, Served::plus);
  }

  /** Returns how the callers of one priority fared. */
  Served servedOf(int priority) {
    return served.getOrDefault(priority, Served.NOBODY);
  }

  /** Returns the share of the worth that was earned. */
  double earnedShare() {
    return DoubleStream.of(earned).sum() / owedInAll();
  }

  /** Returns the share of the worth that was earned of the jobs of one priority. */
  double earnedShareOf(int priority) {
    return earned[priority] / owed[priority];
  }

  /** Returns the share of the worth that refusals cost because they came late. */
  double heldShare() {
    return heldWorth / owedInAll();
  }

  private double owedInAll() {
    return DoubleStream.of(owed).sum();
  }

  /** Returns the number of messages in which hosts showed their workers. */
  long rowsShown() {
    return rowsShown;
  }

  /** Returns the number of heartbeats that owners sent. */
  long beats() {
    return beats;
  }

  /** Returns the number of orders that owners sent; each carries the text of its job. */
  long orders() {
    return orders;
  }

  /** Returns the number of starts that were refused for want of room. */
  long refusals() {
    return refusals;
  }

  private void run(double loadFactor, long lengthMs) {
    for (Host host : hosts.values()) {
      for (int owner = 0; owner < owners.size(); owner++) {
        host.decisions.sessionOpened(owner, "o" + owner, nowMs);
      }
      host.beat();
      host.tick();
    }
    for (int owner = 0; owner < owners.size(); owner++) {
      tick(owner);
    }
    // Traffic begins once the workers are known.
    nowMs += 500;
    mix.kinds.forEach(kind -> arrive(kind, loadFactor, lengthMs));
    while (!timeline.isEmpty() && timeline.peek().atMs() <= lengthMs + 10_000) {
      Timed next = timeline.remove();
      nowMs = Math.max(nowMs, next.atMs());
      next.action().run();
    }
  }

  private void tick(int owner) {
    owners.get(owner).onTick(nowMs);
    settle(owner);
    after(TICK_MS, () -> tick(owner));
  }

  private void arrive(Kind kind, double loadFactor, long untilMs) {
    double factor = loadFactor * burst.factorOf(kind, nowMs) * uneven.demandAt(nowMs);
    double perSecond = kind.perSecond() * factor;
    double gapMs = -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    long atMs = nowMs + Math.max(1, Math.round(gapMs));
    if (atMs < untilMs) {
      at(
          atMs,
          () -> {
            submit(kind);
            arrive(kind, loadFactor, untilMs);
          });
    }
  }

  private double spread(double sigma) {
    return Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
  }

  private void submit(Kind kind) {
    String id = "%016x".formatted(++jobCount);
    int width = (int) Math.max(1, Math.round(kind.width() * spread(0.4)));
    double jobMs = kind.taskMs() * spread(0.4);
    long cpu = (long) Math.min(2_300, 1_600 * spread(CPU_SPREAD));
    long longestMs = 0;
    for (int i = 0; i < width; i++) {
      long taskMs = (long) (jobMs * spread(0.15) * uneven.tail(random));
      workMs.put(TaskNames.of(id, 0, i), taskMs);
      cpuOf.put(TaskNames.of(id, 0, i), cpu);
      longestMs = Math.max(longestMs, taskMs);
    }
    long estimateMs = (long) (jobMs * spread(ESTIMATE_SPREAD));
    StepPlan step = StepPlan.of(width, new Room(cpu, 64, 0), estimateMs);
    long guessedMs = 60 + (long) (1.6 * estimateMs);
    JobPlan plan =
        new JobPlan(
            id,
            "q" + kind.priority(),
            "s",
            "spec",
            kind.priority(),
            2,
            guessedMs,
            LATE_FACTOR * guessedMs,
            List.of(step));
    Caller caller = new Caller(kind, plan, nowMs, 60 + (long) (1.6 * longestMs));
    callers.put(id, caller);
    owed[kind.priority()] += worth(caller);
    int owner = nextOwner();
    ownerOf.put(id, owner);
    owners.get(owner).submit(plan, nowMs);
    settle(owner);
  }

  private int nextOwner() {
    if (ownerShares.isEmpty()) {
      return random.nextInt(owners.size());
    }
    double left = random.nextDouble();
    int owner = 0;
    while (owner < ownerShares.size() - 1 && left >= ownerShares.get(owner)) {
      left -= ownerShares.get(owner);
      owner++;
    }
    return owner;
  }

  private static double worth(Caller caller) {
    StepPlan step = caller.plan().steps().getFirst();
    double work = (caller.objectiveMs() - 60) / 1.6 * step.count();
    double mean = (double) caller.kind().taskMs() * caller.kind().width();
    return caller.kind().worth() * Math.min(4, 0.3 + 0.7 * work / mean);
  }

  private void settle(int owner) {
    JobOwner jobs = owners.get(owner);
    jobs.place(nowMs);
    for (OwnerEffect effect : jobs.drainEffects()) {
      switch (effect) {
        case OwnerEffect.SendToHost to ->
            after(LINK_MS, () -> hosts.get(to.hostId()).take(owner, to.message()));
        case OwnerEffect.AnswerJob answer -> answered(callers.get(answer.jobId()), answer.end());
        case OwnerEffect.LogDecision noted -> {}
      }
    }
  }

  private void answered(Caller caller, JobEnd end) {
    long ms = nowMs - caller.sentAtMs();
    noteServed(caller, end, ms);
    noteOwner(caller, end, ms);
    if (end instanceof JobEnd.Refused) {
      heldWorth += heldPrice(caller, ms);
    }
    if (!(end instanceof JobEnd.Completed) || ms > LATE_FACTOR * caller.objectiveMs()) {
      return;
    }
    double share = ms <= caller.objectiveMs() ? 1 : LATE_WORTH;
    earned[caller.kind().priority()] += share * worth(caller);
  }

  private void noteServed(Caller caller, JobEnd end, long ms) {
    boolean completed = end instanceof JobEnd.Completed && ms <= longestMs(caller);
    boolean inTime = completed && ms <= caller.objectiveMs();
    long cpuMilli = caller.plan().steps().getFirst().need().cpuMilli();
    boolean hasRoom = hosts.values().stream().anyMatch(host -> host.hasRoomFor(cpuMilli));
    served.merge(
        caller.kind().priority(), Served.of(inTime, completed && !inTime, hasRoom), Served::plus);
  }

  private void noteOwner(Caller caller, JobEnd end, long ms) {
    int owner = ownerOf.get(caller.plan().jobId());
    double worth = worth(caller);
    boolean inTime = end instanceof JobEnd.Completed && ms <= caller.objectiveMs();
    owedByOwner.merge(owner, worth, Double::sum);
    earnedByOwner.merge(owner, inTime ? worth : 0, Double::sum);
  }

  /** Callers of long work wait for as long as it takes and their time on top. */
  private static long longestMs(Caller caller) {
    return Math.max(DEADLINE_MS, LATE_FACTOR * caller.objectiveMs());
  }

  /**
   * What a refusal costs beyond the job: little if it comes early, all of it again if it is late.
   */
  private static double heldPrice(Caller caller, long ms) {
    if (ms > LATE_FACTOR * caller.objectiveMs() / 2) {
      return worth(caller);
    }
    return ms > caller.objectiveMs() / 4 ? EARLY_REFUSAL_PRICE * worth(caller) : 0;
  }

  private void at(long atMs, Runnable action) {
    timeline.add(new Timed(atMs, ++sequence, action));
  }

  private void after(long delayMs, Runnable action) {
    at(nowMs + delayMs, action);
  }
}
