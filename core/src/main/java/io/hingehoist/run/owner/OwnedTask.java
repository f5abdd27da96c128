package io.hingehoist.run.owner;

import io.hingehoist.message.RunRef;
import io.hingehoist.run.StepPlan;
import io.hingehoist.run.TaskNames;
import io.hingehoist.run.load.WaitingWork;

/** One task of a job, as its owner sees it. Owned by {@link JobOwner}. */
final class OwnedTask implements WaitingWork {
  private enum State {
    /** Waits for other steps. */
    BLOCKED,
    /** Waits for room. */
    QUEUED,
    /** Was ordered at a host. */
    ORDERED,
    /** Its last run may still be going on at a host that was lost. */
    UNCERTAIN,
    /** Has ended well. */
    DONE
  }

  private final OwnedJob job;
  private final int step;
  private final String name;
  private State state = State.BLOCKED;
  private long runNumber;
  private int failures;
  private int unclearFailures;
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
    return job.number();
  }

  boolean isOfStepOf(OwnedTask other) {
    return job == other.job && step == other.step;
  }

  // The run that was ordered last.

  /** Returns the run that was ordered last. */
  RunRef run() {
    return new RunRef(name, runNumber);
  }

  /** Returns the host where it was ordered last; empty before the first order. */
  String hostId() {
    return hostId;
  }

  /** Returns the worker where it was ordered last; empty before the first order. */
  String workerId() {
    return workerId;
  }

  long orderedAtMs() {
    return orderedAtMs;
  }

  boolean isRun(String ofHostId, RunRef run) {
    return hostId.equals(ofHostId) && runNumber == run.number();
  }

  /** Notes that a run is ordered at a worker. */
  void noteOrdered(WorkerView worker, long nowMs) {
    state = State.ORDERED;
    runNumber++;
    hostId = worker.hostId;
    workerId = worker.row().workerId();
    orderedAtMs = nowMs;
    stopSent = false;
  }

  /** Passes over run numbers that another owner used. */
  void skipRunNumbers(long count) {
    runNumber += count;
  }

  boolean isStopSent() {
    return stopSent;
  }

  void noteStopSent() {
    stopSent = true;
  }

  /** Returns the worker that it is better not ordered at again; empty if there is none. */
  String avoidedWorkerId() {
    return avoidedWorkerId;
  }

  /** Notes that it is better not ordered again at the worker where it was. */
  void avoidItsWorker() {
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

  /** Notes that it waits for room; its last run, if any, is over. */
  void noteQueued() {
    state = State.QUEUED;
    stopSent = false;
  }

  /** Notes that its host was lost: the run may go on until a time. */
  void noteUncertain(long untilMs) {
    state = State.UNCERTAIN;
    uncertainUntilMs = untilMs;
  }

  /** Returns whether its run at a lost host is over by now. */
  boolean isProvablyOver(long nowMs) {
    return isUncertain() && nowMs >= uncertainUntilMs;
  }

  void noteDone() {
    state = State.DONE;
  }

  // Failures.

  /** Returns whether a worker crashed under it, so that it runs apart from others like it. */
  boolean isSuspect() {
    return suspect;
  }

  void makeSuspect() {
    suspect = true;
  }

  /** Notes a failure that says something of the task; returns how many there were. */
  int noteFailure() {
    return ++failures;
  }

  /** Notes a failure on a worker that fails everything; returns how many there were. */
  int noteUnclearFailure() {
    return ++unclearFailures;
  }
}
