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
 * Simulates owners that share workers under a load near or above their capacity, some of which may
 * be stalled or slow for a time. Serves to compare policies of ordering and placement by the share
 * of the offered value that is earned. The result is deterministic for a given seed.
 *
 * <p>As on the users' platform there are three kinds of jobs: many short tasks of the highest
 * priority, pairs of tasks of medium length, and a few long tasks of the lowest priority. A job
 * earns its full value if it is complete by its objective, and a fifth of it up to three times as
 * late.
 */
final class LoadSimulation {
  private static final long LINK_DELAY_MS = 1;
  private static final long WORKER_DELAY_MS = 1;
  private static final long TICK_PERIOD_MS = 50;
  private static final double LATE_VALUE_SHARE = 0.2;
  private static final double EARLY_REFUSAL_COST_SHARE = 0.14;
  private static final int LATE_FACTOR = 3;
  private static final long BURST_LENGTH_MS = 10_000;
  private static final long VARIATION_LENGTH_MS = 13_000;

  /** The time after which callers have disconnected. */
  private static final long DEADLINE_MS = 1_500;

  private static final RunTiming TIMING = RunTiming.of(1_300, 1_000, 50);
  private static final double ESTIMATE_SPREAD = 0.4;
  private static final double CPU_SPREAD = 0.2;

  /** One kind of job. */
  private record JobKind(int priority, double perSecond, int width, long taskMs, double value) {}

  /** The arrivals per second on eleven workers. */
  enum Mix {
    /** All kinds offer the same total value; about two thirds of the room are used. */
    EVEN(
        new JobKind(0, 24.1, 8, 86, 0.0291),
        new JobKind(1, 70, 2, 286, 0.01),
        new JobKind(2, 4.37, 4, 1_286, 0.16)),
    /** The long tasks, of the lowest priority, make up half of the value and of the work. */
    MOSTLY_LONG(
        new JobKind(0, 19.6, 8, 86, 0.0291),
        new JobKind(1, 57.5, 2, 286, 0.01),
        new JobKind(2, 7.8, 4, 1_286, 0.16));

    private final List<JobKind> kinds;

    Mix(JobKind... kinds) {
      this.kinds = List.of(kinds);
    }
  }

  /**
   * A period in which some workers are slower or stalled.
   *
   * @param workerShare the share of the workers that are affected, the first ones created
   * @param speed the speed relative to normal; 0 for a stalled worker
   */
  record WorkerFault(double workerShare, double speed, long fromMs, long untilMs) {
    static final WorkerFault NONE = new WorkerFault(0, 1, 0, 0);

    /** Returns the work that is done between two points in time. */
    private double workedMs(long startedAtMs, long nowMs) {
      long faultyMs = Math.max(0, Math.min(nowMs, untilMs) - Math.max(startedAtMs, fromMs));
      return nowMs - startedAtMs - (1 - speed) * faultyMs;
    }

    /** Returns the time at which work that starts at a given time is done. */
    private long endsAtMs(long startedAtMs, long workMs) {
      long endsAtMs = startedAtMs + workMs;
      while (workedMs(startedAtMs, endsAtMs) < workMs) {
        endsAtMs += Math.max(1, (long) (workMs - workedMs(startedAtMs, endsAtMs)));
      }
      return endsAtMs;
    }
  }

  /**
   * A period with more arrivals than usual.
   *
   * @param priority the kind of jobs with more arrivals; any value below 0 for all kinds
   */
  record Burst(int priority, double factor, long fromMs, long untilMs) {
    static final Burst NONE = new Burst(-1, 1, 0, 0);

    private double factorOf(JobKind kind, long nowMs) {
      boolean applies = priority < 0 || priority == kind.priority();
      return applies && nowMs >= fromMs && nowMs < untilMs ? factor : 1;
    }
  }

  /**
   * The number of callers that were served in time, late, and not at all, and the number of the
   * last that were not served although room was free.
   */
  record CallerOutcomes(int inTime, int late, int unserved, int unservedWithRoom) {
    static final CallerOutcomes NONE = new CallerOutcomes(0, 0, 0, 0);

    private static CallerOutcomes of(boolean isInTime, boolean isLate, boolean hasRoom) {
      boolean isUnserved = !isInTime && !isLate;
      return new CallerOutcomes(
          isInTime ? 1 : 0, isLate ? 1 : 0, isUnserved ? 1 : 0, isUnserved && hasRoom ? 1 : 0);
    }

    private CallerOutcomes plus(CallerOutcomes other) {
      return new CallerOutcomes(
          inTime + other.inTime,
          late + other.late,
          unserved + other.unserved,
          unservedWithRoom + other.unservedWithRoom);
    }

    /** Returns the share of callers that got no useful answer. */
    double unservedShare() {
      return (double) unserved / Math.max(1, inTime + late + unserved);
    }
  }

  /**
   * The variation of workers, tasks and demand.
   *
   * @param speeds the permanent speeds that are assigned to workers in turn; 1 is normal
   * @param tailShare the share of tasks that take up to seven times as long as others of their kind
   * @param demandSwing the amplitude of the demand as a fraction of its mean
   */
  record Variation(List<Double> speeds, double tailShare, double demandSwing) {
    static final Variation NONE = new Variation(List.of(1.0), 0, 0);
    private static final double DEMAND_PERIOD_MS = 13_000;
    private static final double MAX_TAIL_INCREMENT = 6;

    private double speedOf(int worker) {
      return speeds.get(worker % speeds.size());
    }

    private double demandFactorAt(long nowMs) {
      return 1 - demandSwing * Math.cos(2 * Math.PI * nowMs / DEMAND_PERIOD_MS);
    }

    private double tailFactor(Random random) {
      return tailShare > 0 && random.nextDouble() < tailShare
          ? 1 + MAX_TAIL_INCREMENT * random.nextDouble()
          : 1;
    }
  }

  private record ScheduledEvent(long atMs, long sequence, Runnable action) {}

  private record Caller(JobKind kind, JobPlan plan, long sentAtMs, long objectiveMs) {}

  /** A host with one worker, which executes the ordered runs and reports their ends. */
  private final class Host {
    private final String id;
    private final WorkerHost decisions;
    private final Room capacity;
    private final Map<RunRef, Long> runs = new LinkedHashMap<>();
    private final List<PollResult.Ended> ended = new ArrayList<>();
    private final WorkerFault fault;
    private final double speed;
    private final Map<Integer, OpenRuns> openRuns = new HashMap<>();
    private final Map<Integer, Long> heartbeatSentAtMs = new HashMap<>();
    private Optional<HostEffect.PollCall> pendingPoll = Optional.empty();

    private Host(String id, Room capacity, WorkerFault fault, double speed) {
      this.speed = speed;
      this.id = id;
      this.fault = fault;
      this.capacity = capacity;
      this.decisions =
          ZoneFixtures.noneEvacuated(WorkerHost.create(id, 1, "z", TIMING, 1, -10_000));
      decisions.workerHeartbeat(
          new WorkerInfo(id + "-w", "s", id, "z", false, capacity, List.of("a"), 1, 1), nowMs);
    }

    private void receive(int owner, Message message) {
      if (message instanceof StartRuns && openRuns(owner).isEmpty()) {
        sendHeartbeat(owner);
      }
      openRuns(owner).apply(message);
      switch (message) {
        case OwnerWaiting update -> decisions.updateWaitingTasks(owner, update, nowMs);
        case StartRuns order -> {
          orders++;
          decisions.startRuns(owner, order, nowMs);
        }
        case StopRun stop -> decisions.stopRun(owner, stop.run(), nowMs);
        default -> throw new IllegalStateException("not a message to a host: " + message);
      }
      carryOutEffects();
    }

    private void sendHeartbeat() {
      for (int owner = 0; owner < owners.size(); owner++) {
        long periodMs =
            openRuns(owner).isEmpty()
                ? RunTiming.IDLE_HEARTBEAT_INTERVAL_MS
                : RunTiming.HEARTBEAT_INTERVAL_MS;
        if (nowMs - heartbeatSentAtMs.getOrDefault(owner, -periodMs) >= periodMs) {
          sendHeartbeat(owner);
        }
      }
      carryOutEffects();
      after(TICK_PERIOD_MS, this::sendHeartbeat);
    }

    private void sendHeartbeat(int owner) {
      heartbeats++;
      heartbeatSentAtMs.put(owner, nowMs);
      decisions.ownerHeartbeat(owner, nowMs, owners.get(owner).follows(id), nowMs);
    }

    private OpenRuns openRuns(int owner) {
      return openRuns.computeIfAbsent(owner, o -> OpenRuns.create());
    }

    private void tick() {
      decisions.onTick(nowMs);
      carryOutEffects();
      after(TICK_PERIOD_MS, this::tick);
    }

    private void carryOutEffects() {
      decisions.publishWorkers(nowMs);
      decisions.drainEffects().forEach(this::carryOut);
    }

    private void carryOut(HostEffect effect) {
      switch (effect) {
        case HostEffect.StartCall call -> after(WORKER_DELAY_MS, () -> start(call));
        case HostEffect.PollCall call -> after(WORKER_DELAY_MS, () -> respondToPoll(call));
        case HostEffect.SendToOwner to ->
            after(LINK_DELAY_MS, () -> receiveAtOwner((int) to.sessionId(), to));
        case HostEffect.StopCall call -> after(WORKER_DELAY_MS, () -> stop(call));
        case HostEffect.CloseSession close ->
            throw new IllegalStateException("session closed by host, lease expired");
        case HostEffect.CloseConnections closed -> {}
        case HostEffect.LogDecision logged -> {}
      }
    }

    private void receiveAtOwner(int owner, HostEffect.SendToOwner to) {
      JobOwner jobs = owners.get(owner);
      openRuns(owner).apply(to.message());
      switch (to.message()) {
        case SessionOpened opened ->
            jobs.sessionOpened(id, opened.zone(), 1, opened.formerRunsOver());
        case HostRows rows -> {
          rowUpdates++;
          jobs.hostRowsReceived(id, rows, nowMs);
        }
        case RunEnded end -> jobs.runEnded(id, end, nowMs);
        case RunNotStarted report -> {
          refusedStarts++;
          jobs.runNotStarted(id, report, nowMs);
        }
        default -> throw new IllegalStateException("not a message to an owner: " + to.message());
      }
      LoadSimulation.this.carryOutEffects(owner);
    }

    private void start(HostEffect.StartCall call) {
      runs.put(call.run(), nowMs);
      decisions.startCallCompleted(id + "-w", call.run(), new StartResult.Started(nowMs), nowMs);
      long runMs = Math.max(1, (long) (workMs.get(call.run().task()) / speed));
      at(fault.endsAtMs(nowMs, runMs), () -> end(call.run(), RunEnd.DONE));
      carryOutEffects();
    }

    private boolean hasRoomFor(long cpuMilli) {
      long usedMilli = runs.keySet().stream().mapToLong(run -> cpuOf.get(run.task())).sum();
      return fault.speed() > 0 && usedMilli + cpuMilli <= capacity.cpuMilli();
    }

    private void stop(HostEffect.StopCall call) {
      decisions.stopCallCompleted(id + "-w", call.run(), true, nowMs);
      end(call.run(), RunEnd.STOPPED);
      carryOutEffects();
    }

    private void end(RunRef run, RunEnd end) {
      if (runs.remove(run) != null) {
        ended.add(new PollResult.Ended(ended.size() + 1, run, end));
        pendingPoll.ifPresent(this::answer);
      }
    }

    private void respondToPoll(HostEffect.PollCall call) {
      pendingPoll = Optional.of(call);
      if (call.lastSeen() < ended.size()) {
        answer(call);
      } else {
        after(call.waitMs(), () -> pendingPoll.filter(call::equals).ifPresent(this::answer));
      }
    }

    private List<PollResult.Running> running() {
      List<PollResult.Running> rows = new ArrayList<>();
      runs.forEach(
          (run, startedAtMs) -> {
            double workedMs = speed * fault.workedMs(startedAtMs, nowMs);
            double share = workedMs / Math.max(1, workMs.get(run.task()));
            rows.add(new PollResult.Running(run, (int) Math.min(99, 100 * share)));
          });
      return rows;
    }

    private void answer(HostEffect.PollCall call) {
      pendingPoll = Optional.empty();
      List<PollResult.Ended> newEnds =
          List.copyOf(ended.subList((int) call.lastSeen(), ended.size()));
      PollResult answer = new PollResult.Listed(nowMs, running(), newEnds);
      after(
          WORKER_DELAY_MS,
          () -> {
            decisions.pollCallCompleted(id + "-w", answer, nowMs);
            carryOutEffects();
          });
    }
  }

  private final Variation variation;
  private final Random random;
  private final PriorityQueue<ScheduledEvent> timeline =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledEvent::atMs)
              .thenComparingLong(ScheduledEvent::sequence));
  private final List<JobOwner> owners = new ArrayList<>();
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Map<String, Caller> callers = new HashMap<>();
  private final Map<String, Long> workMs = new HashMap<>();
  private final Mix mix;
  private final double[] offeredValue;
  private final double[] earnedValue;
  private long sequence;
  private long refusedStarts;
  private long rowUpdates;
  private long heartbeats;
  private long orders;
  private double refusalCost;
  private final Map<Integer, CallerOutcomes> outcomes = new HashMap<>();
  private Burst burst = Burst.NONE;
  private List<Double> ownerShares = List.of();
  private final Map<String, Integer> ownerOf = new HashMap<>();
  private final Map<Integer, Double> offeredValueByOwner = new HashMap<>();
  private final Map<Integer, Double> earnedValueByOwner = new HashMap<>();
  private final Map<String, Long> cpuOf = new HashMap<>();
  private long nowMs = 1;
  private int jobCount;

  private LoadSimulation(
      long seed,
      Mix mix,
      int ownerCount,
      int hostCount,
      int followedHosts,
      WorkerFault fault,
      Variation variation) {
    this(seed, mix, ownerCount, hostCount, followedHosts, fault, variation, 0);
  }

  private LoadSimulation(
      long seed,
      Mix mix,
      int ownerCount,
      int hostCount,
      int followedHosts,
      WorkerFault fault,
      Variation variation,
      int reservedPercent) {
    this.variation = variation;
    this.random = new Random(seed);
    this.mix = mix;
    this.offeredValue = new double[mix.kinds.size()];
    this.earnedValue = new double[mix.kinds.size()];
    for (int i = 0; i < ownerCount; i++) {
      owners.add(
          JobOwner.create(
              TIMING, "o" + i, "z", followedHosts, UrgentReservation.ofPercent(reservedPercent)));
    }
    for (int i = 0; i < hostCount; i++) {
      long cpu = i % 3 == 2 ? 24_000 : 16_000;
      WorkerFault ownFault = i < fault.workerShare() * hostCount ? fault : WorkerFault.NONE;
      Room room = new Room(cpu, 64_000, 0);
      hosts.put("h" + i, new Host("h" + i, room, ownFault, variation.speedOf(i)));
    }
  }

  /**
   * Simulates a load without faults.
   *
   * @param loadFactor the load as a multiple of the baseline, which fills about two thirds of the
   *     room of eleven workers
   */
  static LoadSimulation run(
      long seed, int ownerCount, int hostCount, double loadFactor, long lengthMs) {
    return run(seed, ownerCount, hostCount, hostCount, loadFactor, lengthMs, WorkerFault.NONE);
  }

  /** Simulates a load on owners that follow some of the hosts, with a fault of workers. */
  static LoadSimulation run(
      long seed,
      int ownerCount,
      int hostCount,
      int followedHosts,
      double loadFactor,
      long lengthMs,
      WorkerFault fault) {
    return run(seed, Mix.EVEN, ownerCount, hostCount, followedHosts, loadFactor, lengthMs, fault);
  }

  /** Simulates a given mix of jobs. */
  static LoadSimulation run(
      long seed,
      Mix mix,
      int ownerCount,
      int hostCount,
      int followedHosts,
      double loadFactor,
      long lengthMs,
      WorkerFault fault) {
    LoadSimulation load =
        new LoadSimulation(seed, mix, ownerCount, hostCount, followedHosts, fault, Variation.NONE);
    load.simulate(loadFactor, lengthMs);
    return load;
  }

  /** Simulates a burst on top of a load on owners that reserve room for urgent work. */
  static LoadSimulation runReserved(
      long seed,
      int ownerCount,
      int hostCount,
      int followedHosts,
      double loadFactor,
      Burst burst,
      WorkerFault fault,
      int reservedPercent) {
    LoadSimulation load =
        new LoadSimulation(
            seed,
            Mix.EVEN,
            ownerCount,
            hostCount,
            followedHosts,
            fault,
            Variation.NONE,
            reservedPercent);
    load.burst = burst;
    load.simulate(loadFactor * hostCount / 11, BURST_LENGTH_MS);
    return load;
  }

  /** Simulates a burst on top of a load, with a fault of workers. */
  static LoadSimulation runBurst(
      long seed,
      int ownerCount,
      int hostCount,
      int followedHosts,
      double loadFactor,
      Burst burst,
      WorkerFault fault) {
    LoadSimulation load =
        new LoadSimulation(
            seed, Mix.EVEN, ownerCount, hostCount, followedHosts, fault, Variation.NONE);
    load.burst = burst;
    load.simulate(loadFactor * hostCount / 11, BURST_LENGTH_MS);
    return load;
  }

  /** Simulates a load on a varied fleet whose owners get the given shares of the callers. */
  static LoadSimulation runUnequalOwners(
      long seed, List<Double> ownerShares, int hostCount, int followedHosts, double loadFactor) {
    Variation variation = new Variation(List.of(0.6, 1.0, 1.6), 0.03, 0.55);
    int ownerCount = ownerShares.size();
    LoadSimulation load =
        new LoadSimulation(
            seed, Mix.EVEN, ownerCount, hostCount, followedHosts, WorkerFault.NONE, variation);
    load.ownerShares = ownerShares;
    load.simulate(loadFactor * hostCount / 11, VARIATION_LENGTH_MS);
    return load;
  }

  /** Returns the share of the value that was in time at a range of owners, its end exclusive. */
  double inTimeShareOf(int fromOwner, int toOwner) {
    double offeredThere = 0;
    double earnedThere = 0;
    for (int owner = fromOwner; owner < toOwner; owner++) {
      offeredThere += offeredValueByOwner.getOrDefault(owner, 0.0);
      earnedThere += earnedValueByOwner.getOrDefault(owner, 0.0);
    }
    return earnedThere / offeredThere;
  }

  /** Simulates a load on a varied fleet. */
  static LoadSimulation runVaried(
      long seed,
      int ownerCount,
      int hostCount,
      int followedHosts,
      double loadFactor,
      Variation variation) {
    LoadSimulation load =
        new LoadSimulation(
            seed, Mix.EVEN, ownerCount, hostCount, followedHosts, WorkerFault.NONE, variation);
    load.simulate(loadFactor * hostCount / 11, VARIATION_LENGTH_MS);
    return load;
  }

  /** Returns the outcomes of all callers. */
  CallerOutcomes outcomes() {
    return outcomes.values().stream().reduce(CallerOutcomes.NONE, CallerOutcomes::plus);
  }

  /** Returns the outcomes of the callers of one priority. */
  CallerOutcomes outcomesOf(int priority) {
    return outcomes.getOrDefault(priority, CallerOutcomes.NONE);
  }

  /** Returns the earned share of the offered value. */
  double earnedShare() {
    return DoubleStream.of(earnedValue).sum() / totalOfferedValue();
  }

  /** Returns the earned share of the offered value of the jobs of one priority. */
  double earnedShareOf(int priority) {
    return earnedValue[priority] / offeredValue[priority];
  }

  /** Returns the cost of late refusals as a share of the offered value. */
  double refusalCostShare() {
    return refusalCost / totalOfferedValue();
  }

  private double totalOfferedValue() {
    return DoubleStream.of(offeredValue).sum();
  }

  /** Returns the number of messages in which hosts reported their workers. */
  long rowUpdates() {
    return rowUpdates;
  }

  /** Returns the number of heartbeats that owners sent. */
  long heartbeats() {
    return heartbeats;
  }

  /** Returns the number of orders that owners sent; each carries the specification of its job. */
  long orders() {
    return orders;
  }

  /** Returns the number of starts that were refused for lack of room. */
  long refusedStarts() {
    return refusedStarts;
  }

  private void simulate(double loadFactor, long lengthMs) {
    for (Host host : hosts.values()) {
      for (int owner = 0; owner < owners.size(); owner++) {
        host.decisions.sessionOpened(owner, "o" + owner, nowMs);
      }
      host.sendHeartbeat();
      host.tick();
    }
    for (int owner = 0; owner < owners.size(); owner++) {
      tick(owner);
    }
    // Jobs arrive only once the workers are known.
    nowMs += 500;
    mix.kinds.forEach(kind -> scheduleArrivals(kind, loadFactor, lengthMs));
    while (!timeline.isEmpty() && timeline.peek().atMs() <= lengthMs + 10_000) {
      ScheduledEvent next = timeline.remove();
      nowMs = Math.max(nowMs, next.atMs());
      next.action().run();
    }
  }

  private void tick(int owner) {
    owners.get(owner).onTick(nowMs);
    carryOutEffects(owner);
    after(TICK_PERIOD_MS, () -> tick(owner));
  }

  private void scheduleArrivals(JobKind kind, double loadFactor, long untilMs) {
    double factor = loadFactor * burst.factorOf(kind, nowMs) * variation.demandFactorAt(nowMs);
    double perSecond = kind.perSecond() * factor;
    double gapMs = -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    long atMs = nowMs + Math.max(1, Math.round(gapMs));
    if (atMs < untilMs) {
      at(
          atMs,
          () -> {
            submit(kind);
            scheduleArrivals(kind, loadFactor, untilMs);
          });
    }
  }

  private double spread(double sigma) {
    return Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
  }

  private void submit(JobKind kind) {
    String id = "%016x".formatted(++jobCount);
    int width = (int) Math.max(1, Math.round(kind.width() * spread(0.4)));
    double jobMs = kind.taskMs() * spread(0.4);
    long cpu = (long) Math.min(2_300, 1_600 * spread(CPU_SPREAD));
    long longestTaskMs = 0;
    for (int i = 0; i < width; i++) {
      long taskMs = (long) (jobMs * spread(0.15) * variation.tailFactor(random));
      workMs.put(TaskNames.of(id, 0, i), taskMs);
      cpuOf.put(TaskNames.of(id, 0, i), cpu);
      longestTaskMs = Math.max(longestTaskMs, taskMs);
    }
    long estimateMs = (long) (jobMs * spread(ESTIMATE_SPREAD));
    StepPlan step = StepPlan.of(width, new Room(cpu, 64, 0), estimateMs);
    long expectedObjectiveMs = 60 + (long) (1.6 * estimateMs);
    JobPlan plan =
        new JobPlan(
            id,
            "q" + kind.priority(),
            "s",
            "spec",
            kind.priority(),
            2,
            expectedObjectiveMs,
            LATE_FACTOR * expectedObjectiveMs,
            List.of(step));
    Caller caller = new Caller(kind, plan, nowMs, 60 + (long) (1.6 * longestTaskMs));
    callers.put(id, caller);
    offeredValue[kind.priority()] += value(caller);
    int owner = nextOwner();
    ownerOf.put(id, owner);
    owners.get(owner).submit(plan, nowMs);
    carryOutEffects(owner);
  }

  private int nextOwner() {
    if (ownerShares.isEmpty()) {
      return random.nextInt(owners.size());
    }
    double remaining = random.nextDouble();
    int owner = 0;
    while (owner < ownerShares.size() - 1 && remaining >= ownerShares.get(owner)) {
      remaining -= ownerShares.get(owner);
      owner++;
    }
    return owner;
  }

  private static double value(Caller caller) {
    StepPlan step = caller.plan().steps().getFirst();
    double work = (caller.objectiveMs() - 60) / 1.6 * step.count();
    double mean = (double) caller.kind().taskMs() * caller.kind().width();
    return caller.kind().value() * Math.min(4, 0.3 + 0.7 * work / mean);
  }

  private void carryOutEffects(int owner) {
    JobOwner jobs = owners.get(owner);
    jobs.place(nowMs);
    for (OwnerEffect effect : jobs.drainEffects()) {
      switch (effect) {
        case OwnerEffect.SendToHost to ->
            after(LINK_DELAY_MS, () -> hosts.get(to.hostId()).receive(owner, to.message()));
        case OwnerEffect.AnswerJob answer -> answered(callers.get(answer.jobId()), answer.end());
        case OwnerEffect.LogDecision logged -> {}
      }
    }
  }

  private void answered(Caller caller, JobEnd end) {
    long ms = nowMs - caller.sentAtMs();
    recordOutcome(caller, end, ms);
    recordOwnerValue(caller, end, ms);
    if (end instanceof JobEnd.Refused) {
      refusalCost += refusalCostOf(caller, ms);
    }
    if (!(end instanceof JobEnd.Completed) || ms > LATE_FACTOR * caller.objectiveMs()) {
      return;
    }
    double share = ms <= caller.objectiveMs() ? 1 : LATE_VALUE_SHARE;
    earnedValue[caller.kind().priority()] += share * value(caller);
  }

  private void recordOutcome(Caller caller, JobEnd end, long ms) {
    boolean completed = end instanceof JobEnd.Completed && ms <= maxUsefulMs(caller);
    boolean inTime = completed && ms <= caller.objectiveMs();
    long cpuMilli = caller.plan().steps().getFirst().need().cpuMilli();
    boolean hasRoom = hosts.values().stream().anyMatch(host -> host.hasRoomFor(cpuMilli));
    outcomes.merge(
        caller.kind().priority(),
        CallerOutcomes.of(inTime, completed && !inTime, hasRoom),
        CallerOutcomes::plus);
  }

  private void recordOwnerValue(Caller caller, JobEnd end, long ms) {
    int owner = ownerOf.get(caller.plan().jobId());
    double value = value(caller);
    boolean inTime = end instanceof JobEnd.Completed && ms <= caller.objectiveMs();
    offeredValueByOwner.merge(owner, value, Double::sum);
    earnedValueByOwner.merge(owner, inTime ? value : 0, Double::sum);
  }

  /** Returns the time that a caller waits for its answer; callers of long work wait longer. */
  private static long maxUsefulMs(Caller caller) {
    return Math.max(DEADLINE_MS, LATE_FACTOR * caller.objectiveMs());
  }

  /**
   * Returns the cost of a refusal beyond the loss of the job's value: nothing at first, a small
   * share of the value if the refusal is moderately late, and the whole value if it is very late.
   */
  private static double refusalCostOf(Caller caller, long ms) {
    if (ms > LATE_FACTOR * caller.objectiveMs() / 2) {
      return value(caller);
    }
    return ms > caller.objectiveMs() / 4 ? EARLY_REFUSAL_COST_SHARE * value(caller) : 0;
  }

  private void at(long atMs, Runnable action) {
    timeline.add(new ScheduledEvent(atMs, ++sequence, action));
  }

  private void after(long delayMs, Runnable action) {
    at(nowMs + delayMs, action);
  }
}
