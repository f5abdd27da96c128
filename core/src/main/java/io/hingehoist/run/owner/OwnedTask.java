package io.hingehoist.run.owner;

import io.hingehoist.message.RunRef;
import io.hingehoist.run.StepPlan;
import io.hingehoist.run.TaskNames;
import io.hingehoist.run.load.WaitingWork;

/**
 * The state of one task at the owner of its job.
 *
 * <p>Not thread-safe: confined to the thread of its {@link JobOwner}.
 */
final class OwnedTask implements WaitingWork {
  private enum State {
    /** Waiting for other steps. */
    BLOCKED,
    /** Waiting for room on a worker. */
    QUEUED,
    /** A run was ordered at a host. */
    ORDERED,
    /** The last run may still be active at a host whose session is lost. */
    UNCERTAIN,
    /** Ended successfully. */
    DONE
  }

  private final OwnedJob job;
  private final int step;
  private final String name;
  private State state = State.BLOCKED;
  private long runNumber;
  private int failures;
  private int unattributedFailures;
  private String hostId = "";
  private String workerId = "";
  private String avoidedWorkerId = "";
  private long orderedAtMs;
  private long uncertainUntilMs;
  private boolean stopSent;
  private boolean suspect;

  OwnedTask(OwnedJob job, int step, int index) {
    this.job = job;
    this.step = step;
    this.name = TaskNames.of(job.plan().jobId(), step, index);
  }

  OwnedJob job() {
    return job;
  }

  int step() {
    return step;
  }

  StepPlan plan() {
    return job.plan().steps().get(step);
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public int priority() {
    return job.plan().priority();
  }

  @Override
  public long arrivalNumber() {
    return job.arrivalNumber();
  }

  boolean isInSameStepAs(OwnedTask other) {
    return job == other.job && step == other.step;
  }

  // The last ordered run.

  /** Returns the last ordered run. */
  RunRef run() {
    return new RunRef(name, runNumber);
  }

  /** Returns the host of the last ordered run; empty before the first order. */
  String hostId() {
    return hostId;
  }

  /** Returns the worker of the last ordered run; empty before the first order. */
  String workerId() {
    return workerId;
  }

  long orderedAtMs() {
    return orderedAtMs;
  }

  boolean isCurrentRun(String ofHostId, RunRef run) {
    return hostId.equals(ofHostId) && runNumber == run.number();
  }

  /** Records that a run is ordered at a worker. */
  void recordOrder(WorkerView worker, long nowMs) {
    state = State.ORDERED;
    runNumber++;
    hostId = worker.hostId;
    workerId = worker.row().workerId();
    orderedAtMs = nowMs;
    stopSent = false;
  }

  /** Skips run numbers that another owner, or a former submission of the job, has used. */
  void skipRunNumbers(long count) {
    runNumber += count;
  }

  boolean isStopSent() {
    return stopSent;
  }

  void markStopSent() {
    stopSent = true;
  }

  /** Returns the worker at which a further run is ordered only as a last resort; empty for none. */
  String avoidedWorkerId() {
    return avoidedWorkerId;
  }

  /** Makes the worker of the last ordered run the last choice for further runs. */
  void avoidCurrentWorker() {
    avoidedWorkerId = workerId;
  }

  // States.

  boolean isBlocked() {
    return state == State.BLOCKED;
  }

  boolean isOrdered() {
    return state == State.ORDERED;
  }

  boolean isUncertain() {
    return state == State.UNCERTAIN;
  }

  boolean mayBeRunning() {
    return isOrdered() || isUncertain();
  }

  /** Marks the task as waiting for room; its last run, if any, has ended. */
  void markQueued() {
    state = State.QUEUED;
    stopSent = false;
  }

  /** Marks the host as lost: the run may remain active until a given time. */
  void markUncertain(long untilMs) {
    state = State.UNCERTAIN;
    uncertainUntilMs = untilMs;
  }

  /** Returns whether its run at a lost host must have ended by now. */
  boolean mustHaveEnded(long nowMs) {
    return isUncertain() && nowMs >= uncertainUntilMs;
  }

  void markDone() {
    state = State.DONE;
  }

  // Failures.

  /** Returns whether a worker crashed while it ran this task, so that suspects run apart. */
  boolean isSuspect() {
    return suspect;
  }

  void markSuspect() {
    suspect = true;
  }

  /** Records a failure that is attributed to the task; returns the number of these. */
  int recordFailure() {
    return ++failures;
  }

  /** Records a failure on a worker that fails every run; returns the number of these. */
  int recordUnattributedFailure() {
    return ++unattributedFailures;
  }
}
