package io.hingehoist.agent;

import io.hingehoist.message.TaskState;

/** The result of sending a payload to the backend server. */
sealed interface BackendResult {

  /** The backend server ran the task, or may have run it. */
  record Ended(TaskState state, String result, long ranMicros) implements BackendResult {}

  /** The backend server accepted no connection, so the payload did not run. */
  record NotReached(String reason) implements BackendResult {}
}
