package io.hingehoist.worker;

/** Identifies what an agent runs: a task of a job, or a repeatable request of a connection. */
public sealed interface RunKey {

  /** A task of a job. */
  record JobTask(long jobId, int taskIndex) implements RunKey {}

  /** A repeatable request, identified together with the connection on which it arrived. */
  record Request(long connectionId, long requestId) implements RunKey {}
}
