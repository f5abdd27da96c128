package io.hingehoist.run;

import io.hingehoist.message.RunRef;

/** One task of a job, as its owner sees it. Owned by {@link JobOwner}. */
final class OwnedTask {
  enum State {
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

  final OwnedJob job;
  final int step;
  final String name;
  State state = State.BLOCKED;
  long runNumber;
  int failures;
  int unclearFailures;
  String hostId = "";
  String workerId = "";
  String avoidedWorkerId = "";
  long orderedAtMs;
  long uncertainUntilMs;
  boolean stopSent;

  OwnedTask(OwnedJob job, int step, int index) {
    this.job = job;
    this.step = step;
    this.name = TaskNames.of(job.plan.jobId(), step, index);
  }

  StepPlan plan() {
    return job.plan.steps().get(step);
  }

  boolean isOfStepOf(OwnedTask other) {
    return job == other.job && step == other.step;
  }

  RunRef run() {
    return new RunRef(name, runNumber);
  }

  boolean mayBeRunning() {
    return state == State.ORDERED || state == State.UNCERTAIN;
  }
}
