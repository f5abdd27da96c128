package io.hingehoist.run.host;

import io.hingehoist.message.RunRef;
import java.util.List;

/** Static helpers for answers of a worker that a test plays. */
final class PollResults {
  private static final long CLOCK_AHEAD_MS = 500_000;

  private PollResults() {}

  /** Returns a list of runs that have not got on yet, and of ends. */
  static PollResult.Listed listed(long nowMs, List<RunRef> running, PollResult.Ended... ended) {
    List<PollResult.Running> rows =
        running.stream().map(run -> new PollResult.Running(run, 0)).toList();
    return new PollResult.Listed(CLOCK_AHEAD_MS + nowMs, rows, List.of(ended));
  }
}
