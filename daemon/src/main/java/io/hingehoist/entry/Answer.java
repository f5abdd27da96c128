package io.hingehoist.entry;

import java.util.List;

/** What a caller hears of a job or request. */
public sealed interface Answer {

  /** Everything ran, and these are all results in the order of the tasks. */
  record Complete(List<String> results) implements Answer {
    /** Copies the results. */
    public Complete {
      results = List.copyOf(results);
    }
  }

  /** The job ended without a whole answer. Some of it may have run. */
  record Failed(String reason) implements Answer {}

  /** Nothing of it ran or will run. */
  record Refused(String cause, String reason, long retryAfterMs) implements Answer {}

  /** The job runs, and this many of its tasks are finished; -1 where another entry knows. */
  record Running(int finishedTasks, int taskCount) implements Answer {}

  /** Nothing is known: the caller may submit the same again, under the same id, or ask later. */
  record Unknown(String reason, long retryAfterMs) implements Answer {}

  /** There is no such submission within the retention. */
  record NotFound() implements Answer {}
}
