package io.hingehoist.dispatch;

import io.hingehoist.message.AgentInfo;
import io.hingehoist.message.AgentStatus;
import io.hingehoist.message.CreditGrant;
import io.hingehoist.message.CreditRecall;
import io.hingehoist.message.CreditReturn;
import io.hingehoist.message.FenceReport;
import io.hingehoist.message.Message;
import io.hingehoist.message.NotStartedReason;
import io.hingehoist.message.RunRefused;
import io.hingehoist.message.RunResponse;
import io.hingehoist.message.TaskFinished;
import io.hingehoist.message.TaskNotStarted;
import io.hingehoist.message.TaskRunning;
import io.hingehoist.placement.SlowWorkerEjection;
import io.hingehoist.placement.Worker;
import io.hingehoist.settings.ServicePolicy;
import io.hingehoist.settings.SettingsPath;
import io.hingehoist.settings.SettingsTree;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Everything that an entry decides about work: which worker gets it, when to hold it back, and when
 * to give it up.
 *
 * <p>Each method takes one event in and returns the effects to carry out, in order. Times are
 * milliseconds of a clock that never goes back. Not thread-safe: the dispatch thread owns it.
 */
public final class Dispatcher {
  private static final long RETIRE_PERIOD_MS = 5_000;

  /** An agent about to stop waits for this, so it hears sooner. */
  private static final long DRAINING_RETIRE_PERIOD_MS = 100;

  private static final long EJECTION_PERIOD_MS = 100;

  /** How long a worker is left alone whose backend server took no connection. */
  private static final long UNREACHABLE_PAUSE_MS = 500;

  private record Deadline(long atMs, boolean isJob, long id) {}

  private final String zone;
  private final RandomGenerator random;
  private final List<DispatchEffect> effects = new ArrayList<>();
  private final JobDispatch jobs = new JobDispatch(this, effects::add);
  private final RequestDispatch requests = new RequestDispatch(this, effects::add);
  private final Map<String, ServicePool> pools = new HashMap<>();
  private final Map<String, Worker<Work>> workers = new HashMap<>();
  private final Map<SettingsPath, ServicePolicy> policies = new HashMap<>();
  private final PriorityQueue<Deadline> deadlines =
      new PriorityQueue<>(Comparator.comparingLong(Deadline::atMs));
  private SettingsTree settings = SettingsTree.empty();
  private long leaseUntilMs = Long.MIN_VALUE;
  private long sequence;
  private long retiredAtMs;
  private long drainedAtMs;
  private long ejectedAtMs;
  private long latestMs;

  private Dispatcher(String zone, RandomGenerator random) {
    this.zone = zone;
    this.random = random;
  }

  /** Creates a dispatcher without workers, settings or lease. */
  public static Dispatcher create(String zone, RandomGenerator random) {
    return new Dispatcher(zone, random);
  }

  // Events.

  /** Takes the settings in force. */
  public List<DispatchEffect> onSettings(SettingsTree tree) {
    settings = tree;
    policies.clear();
    for (Worker<Work> worker : workers.values()) {
      if (worker.isReachable()) {
        subscribe(worker);
      }
    }
    return drainEffects();
  }

  /** Takes a lease: until then work may start; jobs admitted before the floor are forgotten. */
  public List<DispatchEffect> onLease(long untilMs, long floorMs, long nowMs) {
    leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    jobs.forgetBefore(floorMs);
    return pump(nowMs);
  }

  /** Takes the registered agents. What an ended incarnation may have started is given up. */
  public List<DispatchEffect> onMembers(List<AgentInfo> agents, long nowMs) {
    Set<String> present = new HashSet<>();
    for (AgentInfo info : agents) {
      present.add(info.agentId());
      Worker<Work> worker = workers.get(info.agentId());
      if (worker == null) {
        addWorker(info);
      } else {
        updateWorker(worker, info);
      }
    }
    for (String agentId : Set.copyOf(workers.keySet())) {
      if (!present.contains(agentId)) {
        removeWorker(workers.get(agentId));
      }
    }
    return pump(nowMs);
  }

  private void addWorker(AgentInfo info) {
    Worker<Work> worker = Worker.create(info);
    workers.put(info.agentId(), worker);
    pool(info.service()).workers().put(info.agentId(), worker);
  }

  private void updateWorker(Worker<Work> worker, AgentInfo info) {
    boolean newIncarnation = worker.info().incarnation() != info.incarnation();
    boolean movedService = !worker.info().service().equals(info.service());
    if (newIncarnation) {
      endIncarnation(worker);
    }
    if (movedService) {
      pool(worker.info().service()).workers().remove(info.agentId());
      pool(info.service()).workers().put(info.agentId(), worker);
    }
    boolean wasReachable = worker.isReachable();
    worker.update(info);
    if (worker.isReachable()) {
      becomeReachable(worker, wasReachable);
    }
  }

  /** Fences and open grants wait for the moment at which the registered incarnation can hear. */
  private void becomeReachable(Worker<Work> worker, boolean wasReachable) {
    if (!wasReachable) {
      subscribe(worker);
      jobs.onReconnected(worker);
    }
  }

  private void removeWorker(Worker<Work> worker) {
    endIncarnation(worker);
    workers.remove(worker.agentId());
    pool(worker.info().service()).workers().remove(worker.agentId());
  }

  private void endIncarnation(Worker<Work> worker) {
    List<Work> lost = worker.inFlight();
    lost.forEach(work -> noteEnded(worker.agentId(), work));
    jobs.onAgentEnded(worker.agentId(), lost);
    requests.onAgentLost(worker.agentId(), lost);
  }

  /** Takes an agent's status: the first message on a connection, or news on an open one. */
  public List<DispatchEffect> onAgentStatus(AgentStatus status, boolean opens, long nowMs) {
    Worker<Work> worker = workers.get(status.agentId());
    if (worker == null) {
      return List.of();
    }
    boolean wasReachable = worker.isReachable() && !opens;
    worker.onStatus(status.incarnation(), status.draining(), status.busyForOthers(), nowMs);
    if (worker.isReachable()) {
      becomeReachable(worker, wasReachable);
    }
    return pump(nowMs);
  }

  /** Notes a lost connection. Tasks stay granted; repeatable requests are tried elsewhere. */
  public List<DispatchEffect> onAgentDisconnected(String agentId, long nowMs) {
    Worker<Work> worker = workers.get(agentId);
    if (worker == null) {
      return List.of();
    }
    worker.onDisconnected();
    List<Work> lost = worker.inFlight();
    for (Work work : lost) {
      if (work instanceof RequestWork) {
        noteEnded(agentId, work);
      }
    }
    requests.onAgentLost(agentId, lost);
    return pump(nowMs);
  }

  /** Takes a message from an agent. */
  public List<DispatchEffect> onAgentMessage(String agentId, Message message, long nowMs) {
    Worker<Work> worker = workers.get(agentId);
    if (worker == null) {
      return List.of();
    }
    latestMs = nowMs;
    switch (message) {
      case AgentStatus status -> effects.addAll(onAgentStatus(status, false, nowMs));
      case TaskFinished finished -> {
        jobs.onFinished(agentId, finished);
        noteAnswer(worker, finished.busyForOthers(), finished.credits(), nowMs);
      }
      case TaskNotStarted notStarted -> {
        jobs.onNotStarted(agentId, notStarted);
        noteAnswer(worker, notStarted.busyForOthers(), notStarted.credits(), nowMs);
        noteReason(worker, notStarted.reason(), nowMs);
      }
      case TaskRunning running -> {}
      case FenceReport report -> jobs.onFenceReport(worker, report);
      case RunResponse response -> {
        requests.onResponse(agentId, response);
        noteAnswer(worker, response.busyForOthers(), response.credits(), nowMs);
      }
      case RunRefused refused -> {
        requests.onRefused(agentId, refused);
        noteAnswer(worker, refused.busyForOthers(), refused.credits(), nowMs);
        noteReason(worker, refused.reason(), nowMs);
      }
      case CreditGrant grant -> worker.addCredits(grant.credits());
      case CreditRecall recall -> returnCredits(worker, recall.credits());
      default -> throw new IllegalArgumentException("not a message from an agent: " + message);
    }
    return pump(nowMs);
  }

  private static void noteAnswer(Worker<Work> worker, int busy, int credits, long nowMs) {
    worker.recordBusyForOthers(busy, nowMs);
    worker.addCredits(credits);
  }

  private void noteReason(Worker<Work> worker, NotStartedReason reason, long nowMs) {
    switch (reason) {
      case DRAINING, NO_LEASE, WRONG_INCARNATION -> worker.recordRefusal();
      case BACKEND_UNREACHABLE -> worker.eject(nowMs + UNREACHABLE_PAUSE_MS);
      case SLOTS_FULL -> pool(worker.info().service()).backoff().noteRefusal(nowMs);
      case STALE_EPOCH, REVOKED, RETIRED -> {}
    }
  }

  private void returnCredits(Worker<Work> worker, int asked) {
    int spare = pool(worker.info().service()).spareCredits();
    int returned = worker.removeCredits(Math.min(asked, spare));
    effects.add(new DispatchEffect.Send(worker.agentId(), new CreditReturn(returned)));
  }

  /** Takes a job that this entry admitted. */
  public List<DispatchEffect> onAdmitted(JobSpec spec, long nowMs) {
    addDeadline(new Deadline(spec.deadlineMs(), true, spec.jobId()));
    jobs.admit(spec, takeSequences(spec));
    return pump(nowMs);
  }

  /** Takes over a job from an entry that has ended. */
  public List<DispatchEffect> onAdopted(JobSpec spec, List<String> lostAgents, long nowMs) {
    addDeadline(new Deadline(spec.deadlineMs(), true, spec.jobId()));
    jobs.adopt(spec, takeSequences(spec), lostAgents);
    return pump(nowMs);
  }

  private long takeSequences(JobSpec spec) {
    long first = sequence;
    sequence += spec.payloads().size();
    return first;
  }

  private void addDeadline(Deadline deadline) {
    deadlines.add(deadline);
  }

  /** Takes a repeatable request, after {@link #refusalOf} let it pass. */
  public List<DispatchEffect> onRequest(RequestSpec spec, long nowMs) {
    addDeadline(new Deadline(spec.deadlineMs(), false, spec.requestId()));
    requests.accept(spec, sequence++);
    return pump(nowMs);
  }

  /** Notes that a job's outcome is committed. */
  public List<DispatchEffect> onOutcomeCommitted(long jobId) {
    jobs.onCommitted(jobId);
    return drainEffects();
  }

  /** Notes that another entry owns a job now. */
  public List<DispatchEffect> onOutcomeStale(long jobId) {
    jobs.onStale(jobId);
    return drainEffects();
  }

  /** Leaves every job to others, because this entry's incarnation has ended. */
  public List<DispatchEffect> onIncarnationEnded() {
    leaseUntilMs = Long.MIN_VALUE;
    jobs.abandonAll();
    return drainEffects();
  }

  /** Gives up what is past its deadline and does what is due. */
  public List<DispatchEffect> onTick(long nowMs) {
    while (!deadlines.isEmpty() && deadlines.peek().atMs() <= nowMs) {
      Deadline due = deadlines.remove();
      if (due.isJob()) {
        jobs.onDeadline(due.id());
      } else {
        requests.onDeadline(due.id());
      }
    }
    requests.onTick(nowMs);
    if (nowMs - retiredAtMs >= RETIRE_PERIOD_MS) {
      retiredAtMs = nowMs;
      jobs.flushRetired(agentId -> true);
    }
    if (nowMs - drainedAtMs >= DRAINING_RETIRE_PERIOD_MS) {
      drainedAtMs = nowMs;
      jobs.flushRetired(this::isDraining);
    }
    if (nowMs - ejectedAtMs >= EJECTION_PERIOD_MS) {
      ejectedAtMs = nowMs;
      ejectSlowWorkers(nowMs);
    }
    return pump(nowMs);
  }

  private boolean isDraining(String agentId) {
    Worker<Work> worker = workers.get(agentId);
    return worker != null && worker.isDraining();
  }

  private void ejectSlowWorkers(long nowMs) {
    pools.forEach(
        (service, pool) -> {
          ServicePolicy policy = policyAt(servicePath(service));
          SlowWorkerEjection.eject(
              pool.workers().values(), policy.ejectionFactor(), policy.ejectionMaxPercent(), nowMs);
        });
  }

  // Admission.

  /**
   * Returns why work can't be taken now; empty where it can.
   *
   * @param tasks the number of tasks
   * @param deadlineMs when the work is given up
   */
  public Optional<RequestOutcome.Refused> refusalOf(
      String service, String jobClass, int tasks, long deadlineMs, long nowMs) {
    if (nowMs >= leaseUntilMs) {
      return AdmissionChecks.refused(
          RefusalCause.NO_LEASE, "this entry has no fresh lease", AdmissionChecks.RETRY_SOON_MS);
    }
    ServicePolicy policy = policyAt(SettingsPath.of(service, jobClass, zone));
    return AdmissionChecks.refusalOf(pool(service), policy, tasks, deadlineMs, nowMs);
  }

  /** Counts the tasks of a submission as waiting while its admission is committed. */
  public void reserve(String service, int tasks) {
    pool(service).reserve(tasks);
  }

  /** Ends a {@link #reserve}. */
  public void release(String service, int tasks) {
    pool(service).release(tasks);
  }

  long retryAfterMs(String service) {
    return AdmissionChecks.retryAfterMs(pool(service));
  }

  // Shared with jobs and requests.

  ServicePool pool(String service) {
    return pools.computeIfAbsent(service, name -> new ServicePool(random));
  }

  void enqueue(Work work) {
    ServicePolicy policy = policyOf(work);
    pool(work.service()).queue().add(work, policy.teamWeight(), policy.teamSlots());
  }

  void noteEnded(String agentId, Work work) {
    Worker<Work> worker = workers.get(agentId);
    if (worker != null && worker.recordEnded(work)) {
      pool(work.service()).queue().noteEnded(work.team());
    }
  }

  /** Frees the slot of a request that ended before this answer, such as a lost hedge. */
  void noteRequestEnded(String agentId, long requestId) {
    Worker<Work> worker = workers.get(agentId);
    if (worker == null) {
      return;
    }
    for (Work work : worker.inFlight()) {
      if (work instanceof RequestWork request && request.spec().requestId() == requestId) {
        noteEnded(agentId, work);
      }
    }
  }

  void noteAdopted(Worker<Work> worker, TaskWork task) {
    worker.recordAdopted(task, latestMs);
    pool(task.service()).queue().noteAdopted(task.team());
  }

  void noteServiceTime(String agentId, Work work, long micros) {
    Worker<Work> worker = workers.get(agentId);
    if (worker != null) {
      pool(work.service()).noteServiceTime(worker, micros);
    }
  }

  ServicePolicy policyOf(Work work) {
    return policyAt(SettingsPath.of(work.service(), work.jobClass(), zone));
  }

  private ServicePolicy policyAt(SettingsPath path) {
    return policies.computeIfAbsent(path, settings::policyAt);
  }

  private static SettingsPath servicePath(String service) {
    return new SettingsPath(List.of(service));
  }

  private boolean placesByCredit(String service) {
    return policyAt(servicePath(service)).placement().equals("slotCredits");
  }

  private void subscribe(Worker<Work> worker) {
    String service = worker.info().service();
    pool(service).subscribe(worker, placesByCredit(service), effects::add);
  }

  private List<DispatchEffect> pump(long nowMs) {
    if (nowMs < leaseUntilMs) {
      pools.forEach(
          (service, pool) -> {
            pool.pump(this::policyOf, (work, worker) -> start(work, worker, nowMs), nowMs);
            pool.tellDemand(placesByCredit(service), effects::add, nowMs);
          });
    }
    return drainEffects();
  }

  private void start(Work work, Worker<Work> worker, long nowMs) {
    switch (work) {
      case TaskWork task -> jobs.start(task, worker);
      case RequestWork request -> requests.start(request, worker, nowMs);
    }
  }

  private List<DispatchEffect> drainEffects() {
    List<DispatchEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }

  // What others may see.

  /** Drops the lease: this box may have slept, and the lease may be over. */
  public void dropLease() {
    leaseUntilMs = Long.MIN_VALUE;
  }

  /** Returns whether a lease is fresh. */
  public boolean hasLease(long nowMs) {
    return nowMs < leaseUntilMs;
  }

  /** Returns the jobs that this entry owns. */
  public List<Long> ownedJobIds() {
    return jobs.ownedJobIds();
  }

  /** Returns the number of finished tasks of a job that this entry owns; empty for others. */
  public Optional<Integer> finishedTasks(long jobId) {
    return jobs.find(jobId).map(JobRun::finishedCount);
  }

  /** Returns whether nothing that this entry took is without its end. */
  public boolean isSettled() {
    return jobs.isSettled() && requests.openCount() == 0;
  }

  /** Returns the number of jobs and requests without an end. */
  public int openCount() {
    return jobs.openCount() + requests.openCount();
  }

  /** Returns the number of tasks and requests that wait for a worker. */
  public int waitingCount() {
    return pools.values().stream().mapToInt(pool -> pool.queue().size()).sum();
  }

  /** Returns the number of tasks and requests in flight. */
  public int inFlightCount() {
    return pools.values().stream().mapToInt(ServicePool::inFlightCount).sum();
  }

  /** Returns the number of workers that take work from this entry. */
  public int usableWorkers(long nowMs) {
    return (int) workers.values().stream().filter(worker -> worker.takesWork(nowMs)).count();
  }
}
