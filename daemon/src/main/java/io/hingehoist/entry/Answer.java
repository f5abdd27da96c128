package io.hingehoist.entry;

import java.util.List;

/** The answer to a caller about a job or request. */
public sealed interface Answer {

  /** Every task ran; the results are in the order of the tasks. */
  record Complete(List<String> results) implements Answer {
    /** Copies the results. */
    public Complete {
      results = List.copyOf(results);
    }
  }

  /** The job ended without all of its results. Some of its tasks may have run. */
  record Failed(String reason) implements Answer {}

  /** No task ran or will run. */
  record Refused(String cause, String reason, long retryAfterMs) implements Answer {}

  /** The job is running. {@code finishedTasks} is -1 if only another entry knows the number. */
  record Running(int finishedTasks, int taskCount) implements Answer {}

  /** The outcome is not known. The caller may resubmit under the same id, or query again later. */
  record Unknown(String reason, long retryAfterMs) implements Answer {}

  /** No such submission exists within the retention period. */
  record NotFound() implements Answer {}
}
