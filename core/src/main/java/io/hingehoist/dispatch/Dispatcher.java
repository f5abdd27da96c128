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
 * Makes all decisions of an entry about work: which worker runs it, when it stays queued, and when
 * it fails.
 *
 * <p>Each event method handles one event and returns the effects to carry out, in order. Times are
 * milliseconds of a monotonic clock. Not thread-safe: confined to the dispatch thread.
 */
public final class Dispatcher {
  private static final long RETIRE_INTERVAL_MS = 5_000;

  /** Shorter than for other agents, because a draining agent can't stop before its jobs retire. */
  private static final long DRAINING_RETIRE_INTERVAL_MS = 100;

  private static final long EJECTION_INTERVAL_MS = 100;

  /** Time without new work for a worker whose backend server accepted no connection. */
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
  private long leaseExpiresAtMs = Long.MIN_VALUE;
  private long sequence;
  private long retirementsSentAtMs;
  private long drainingRetirementsSentAtMs;
  private long ejectionCheckedAtMs;
  private long messageAtMs;

  private Dispatcher(String zone, RandomGenerator random) {
    this.zone = zone;
    this.random = random;
  }

  /** Returns a new dispatcher without workers, settings or lease. */
  public static Dispatcher create(String zone, RandomGenerator random) {
    return new Dispatcher(zone, random);
  }

  // Events.

  /** Replaces the settings in force. */
  public List<DispatchEffect> onSettings(SettingsTree tree) {
    settings = tree;
    policies.clear();
    for (Worker<Work> worker : workers.values()) {
      if (worker.isReachable()) {
        updateSubscription(worker);
      }
    }
    return drainEffects();
  }

  /**
   * Extends the lease, during which work may start, and drops the records of committed jobs that
   * were admitted before the floor.
   *
   * @param expiresAtMs the end of the lease
   * @param floorMs the earliest time of admission of which records are kept, on the replicated
   *     clock
   */
  public List<DispatchEffect> onLease(long expiresAtMs, long floorMs, long nowMs) {
    leaseExpiresAtMs = Math.max(leaseExpiresAtMs, expiresAtMs);
    jobs.removeAdmittedBefore(floorMs);
    return dispatchWaiting(nowMs);
  }

  /**
   * Updates the registered agents. Fails the jobs with tasks that an ended incarnation may have
   * started.
   */
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
    return dispatchWaiting(nowMs);
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
      onReachable(worker, wasReachable);
    }
  }

  /** Subscribes to credits, and sends the pending fences and revocations, after a connection. */
  private void onReachable(Worker<Work> worker, boolean wasReachable) {
    if (!wasReachable) {
      updateSubscription(worker);
      jobs.onReconnected(worker);
    }
  }

  private void removeWorker(Worker<Work> worker) {
    endIncarnation(worker);
    workers.remove(worker.agentId());
    pool(worker.info().service()).workers().remove(worker.agentId());
  }

  private void endIncarnation(Worker<Work> worker) {
    List<Work> inFlight = worker.inFlight();
    inFlight.forEach(work -> recordEnded(worker.agentId(), work));
    jobs.onAgentEnded(worker.agentId(), inFlight);
    requests.onAgentLost(worker.agentId(), inFlight);
  }

  /**
   * Updates a worker from its agent's status.
   *
   * @param newConnection whether the status is the first message of its connection
   */
  public List<DispatchEffect> onAgentStatus(AgentStatus status, boolean newConnection, long nowMs) {
    Worker<Work> worker = workers.get(status.agentId());
    if (worker == null) {
      return List.of();
    }
    boolean wasReachable = worker.isReachable() && !newConnection;
    worker.onStatus(status.incarnation(), status.draining(), status.busyForOthers(), nowMs);
    if (worker.isReachable()) {
      onReachable(worker, wasReachable);
    }
    return dispatchWaiting(nowMs);
  }

  /**
   * Handles the loss of a connection. Tasks stay granted to the agent; repeatable requests are
   * retried on other workers, within the retry budget.
   */
  public List<DispatchEffect> onAgentDisconnected(String agentId, long nowMs) {
    Worker<Work> worker = workers.get(agentId);
    if (worker == null) {
      return List.of();
    }
    worker.onDisconnected();
    List<Work> inFlight = worker.inFlight();
    for (Work work : inFlight) {
      if (work instanceof RequestWork) {
        recordEnded(agentId, work);
      }
    }
    requests.onAgentLost(agentId, inFlight);
    return dispatchWaiting(nowMs);
  }

  /** Handles a message from an agent. */
  public List<DispatchEffect> onAgentMessage(String agentId, Message message, long nowMs) {
    Worker<Work> worker = workers.get(agentId);
    if (worker == null) {
      return List.of();
    }
    messageAtMs = nowMs;
    switch (message) {
      case AgentStatus status -> effects.addAll(onAgentStatus(status, false, nowMs));
      case TaskFinished finished -> {
        jobs.onFinished(agentId, finished);
        updateLoad(worker, finished.busyForOthers(), finished.credits(), nowMs);
      }
      case TaskNotStarted notStarted -> {
        jobs.onNotStarted(agentId, notStarted);
        updateLoad(worker, notStarted.busyForOthers(), notStarted.credits(), nowMs);
        handleRefusal(worker, notStarted.reason(), nowMs);
      }
      case TaskRunning running -> {}
      case FenceReport report -> jobs.onFenceReport(worker, report);
      case RunResponse response -> {
        requests.onResponse(agentId, response);
        updateLoad(worker, response.busyForOthers(), response.credits(), nowMs);
      }
      case RunRefused refused -> {
        requests.onRefused(agentId, refused);
        updateLoad(worker, refused.busyForOthers(), refused.credits(), nowMs);
        handleRefusal(worker, refused.reason(), nowMs);
      }
      case CreditGrant grant -> worker.addCredits(grant.credits());
      case CreditRecall recall -> returnCredits(worker, recall.credits());
      default -> throw new IllegalArgumentException("unexpected message from an agent: " + message);
    }
    return dispatchWaiting(nowMs);
  }

  private static void updateLoad(Worker<Work> worker, int busyForOthers, int credits, long nowMs) {
    worker.recordBusyForOthers(busyForOthers, nowMs);
    worker.addCredits(credits);
  }

  private void handleRefusal(Worker<Work> worker, NotStartedReason reason, long nowMs) {
    switch (reason) {
      case DRAINING, NO_LEASE, WRONG_INCARNATION -> worker.recordRefusal();
      case BACKEND_UNREACHABLE -> worker.eject(nowMs + UNREACHABLE_PAUSE_MS);
      case SLOTS_FULL -> pool(worker.info().service()).backoff().recordRefusal(nowMs);
      case STALE_EPOCH, REVOKED, RETIRED -> {}
    }
  }

  private void returnCredits(Worker<Work> worker, int requested) {
    int spare = pool(worker.info().service()).spareCredits();
    int returned = worker.removeCredits(Math.min(requested, spare));
    effects.add(new DispatchEffect.Send(worker.agentId(), new CreditReturn(returned)));
  }

  /** Starts dispatching a job that this entry admitted. */
  public List<DispatchEffect> onAdmitted(JobSpec spec, long nowMs) {
    addDeadline(new Deadline(spec.deadlineMs(), true, spec.jobId()));
    jobs.admit(spec, allocateSequences(spec));
    return dispatchWaiting(nowMs);
  }

  /**
   * Adopts a job from an entry that has ended.
   *
   * @param lostAgents the agents whose record of the job's tasks is lost
   */
  public List<DispatchEffect> onAdopted(JobSpec spec, List<String> lostAgents, long nowMs) {
    addDeadline(new Deadline(spec.deadlineMs(), true, spec.jobId()));
    jobs.adopt(spec, allocateSequences(spec), lostAgents);
    return dispatchWaiting(nowMs);
  }

  private long allocateSequences(JobSpec spec) {
    long first = sequence;
    sequence += spec.payloads().size();
    return first;
  }

  private void addDeadline(Deadline deadline) {
    deadlines.add(deadline);
  }

  /** Starts dispatching a repeatable request that {@link #refusalOf} did not refuse. */
  public List<DispatchEffect> onRequest(RequestSpec spec, long nowMs) {
    addDeadline(new Deadline(spec.deadlineMs(), false, spec.requestId()));
    requests.accept(spec, sequence++);
    return dispatchWaiting(nowMs);
  }

  /** Handles the commit of a job's outcome. */
  public List<DispatchEffect> onOutcomeCommitted(long jobId) {
    jobs.onCommitted(jobId);
    return drainEffects();
  }

  /** Stops work on a job that another entry owns now. */
  public List<DispatchEffect> onOutcomeStale(long jobId) {
    jobs.onStale(jobId);
    return drainEffects();
  }

  /** Leaves every job to other entries, because this entry's incarnation has ended. */
  public List<DispatchEffect> onIncarnationEnded() {
    leaseExpiresAtMs = Long.MIN_VALUE;
    jobs.abandonAll();
    return drainEffects();
  }

  /** Fails the work whose deadline has passed, and performs the periodic duties that are due. */
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
    if (nowMs - retirementsSentAtMs >= RETIRE_INTERVAL_MS) {
      retirementsSentAtMs = nowMs;
      jobs.sendRetirements(agentId -> true);
    }
    if (nowMs - drainingRetirementsSentAtMs >= DRAINING_RETIRE_INTERVAL_MS) {
      drainingRetirementsSentAtMs = nowMs;
      jobs.sendRetirements(this::isDraining);
    }
    if (nowMs - ejectionCheckedAtMs >= EJECTION_INTERVAL_MS) {
      ejectionCheckedAtMs = nowMs;
      ejectSlowWorkers(nowMs);
    }
    return dispatchWaiting(nowMs);
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
   * Returns why work can't be admitted now; empty if it can.
   *
   * @param tasks the number of tasks
   * @param deadlineMs when the work fails unless it has ended
   */
  public Optional<RequestOutcome.Refused> refusalOf(
      String service, String jobClass, int tasks, long deadlineMs, long nowMs) {
    if (nowMs >= leaseExpiresAtMs) {
      return AdmissionChecks.refused(
          RefusalCause.NO_LEASE, "this entry has no fresh lease", AdmissionChecks.RETRY_SOON_MS);
    }
    ServicePolicy policy = policyAt(SettingsPath.of(service, jobClass, zone));
    return AdmissionChecks.refusalOf(pool(service), policy, tasks, deadlineMs, nowMs);
  }

  /** Counts the tasks of a submission as waiting until its admission is committed. */
  public void reserve(String service, int tasks) {
    pool(service).reserve(tasks);
  }

  /** Ends the reservation that {@link #reserve} made. */
  public void release(String service, int tasks) {
    pool(service).release(tasks);
  }

  long retryAfterMs(String service) {
    return AdmissionChecks.retryAfterMs(pool(service));
  }

  // For JobDispatch and RequestDispatch.

  ServicePool pool(String service) {
    return pools.computeIfAbsent(service, name -> new ServicePool(random));
  }

  void enqueue(Work work) {
    ServicePolicy policy = policyOf(work);
    pool(work.service()).queue().add(work, policy.teamWeight(), policy.teamSlots());
  }

  void recordEnded(String agentId, Work work) {
    Worker<Work> worker = workers.get(agentId);
    if (worker != null && worker.recordEnded(work)) {
      pool(work.service()).queue().recordEnded(work.team());
    }
  }

  /** Frees the slot of a request that ended before this response, such as the slower hedge. */
  void releaseRequestSlot(String agentId, long requestId) {
    Worker<Work> worker = workers.get(agentId);
    if (worker == null) {
      return;
    }
    for (Work work : worker.inFlight()) {
      if (work instanceof RequestWork request && request.spec().requestId() == requestId) {
        recordEnded(agentId, work);
      }
    }
  }

  void recordAdopted(Worker<Work> worker, TaskWork task) {
    worker.recordAdopted(task, messageAtMs);
    pool(task.service()).queue().recordAdopted(task.team());
  }

  void recordServiceTime(String agentId, Work work, long micros) {
    Worker<Work> worker = workers.get(agentId);
    if (worker != null) {
      pool(work.service()).recordServiceTime(worker, micros);
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

  private boolean usesSlotCredits(String service) {
    return policyAt(servicePath(service)).placement().equals("slotCredits");
  }

  private void updateSubscription(Worker<Work> worker) {
    String service = worker.info().service();
    pool(service).updateSubscription(worker, usesSlotCredits(service), effects::add);
  }

  private List<DispatchEffect> dispatchWaiting(long nowMs) {
    if (nowMs < leaseExpiresAtMs) {
      pools.forEach(
          (service, pool) -> {
            pool.dispatchWaiting(
                this::policyOf, (work, worker) -> start(work, worker, nowMs), nowMs);
            pool.sendDemandChanges(usesSlotCredits(service), effects::add, nowMs);
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
    List<DispatchEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }

  // Lease and status.

  /** Drops the lease, which may have expired while this box was asleep. */
  public void dropLease() {
    leaseExpiresAtMs = Long.MIN_VALUE;
  }

  /** Returns whether this entry has a valid lease. */
  public boolean hasLease(long nowMs) {
    return nowMs < leaseExpiresAtMs;
  }

  /** Returns the jobs that this entry owns. */
  public List<Long> ownedJobIds() {
    return jobs.ownedJobIds();
  }

  /** Returns the number of finished tasks of a job; empty if this entry does not own it. */
  public Optional<Integer> finishedTasks(long jobId) {
    return jobs.find(jobId).map(ActiveJob::finishedCount);
  }

  /**
   * Returns whether every request has ended and the outcome of every job is committed or left to
   * another entry.
   */
  public boolean isSettled() {
    return jobs.isSettled() && requests.openCount() == 0;
  }

  /** Returns the number of jobs and requests that have not ended. */
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

  /** Returns the number of workers that accept work from this entry. */
  public int usableWorkers(long nowMs) {
    return (int) workers.values().stream().filter(worker -> worker.acceptsWork(nowMs)).count();
  }
}
