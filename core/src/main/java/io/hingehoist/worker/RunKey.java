package io.hingehoist.worker;

/** What an agent runs: a task of a job, or a repeatable request of a connection. */
public sealed interface RunKey {

  /** A task of a job. */
  record JobTask(long jobId, int taskIndex) implements RunKey {}

  /** A repeatable request, known by the connection that it came on. */
  record Request(long connectionId, long requestId) implements RunKey {}
}
