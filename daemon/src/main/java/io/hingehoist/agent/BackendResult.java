package io.hingehoist.agent;

import io.hingehoist.message.TaskState;

/** What came of sending a payload to the backend server. */
sealed interface BackendResult {

  /** The backend server ended the task, or may have. */
  record Ended(TaskState state, String result, long ranMicros) implements BackendResult {}

  /** The backend server took no connection, so the payload did not run. */
  record NotReached(String reason) implements BackendResult {}
}
