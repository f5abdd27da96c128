package io.hingehoist.run.host;

import io.hingehoist.message.RunRef;
import java.util.List;

/** Static helpers that create poll results of a simulated worker. */
final class PollResults {
  private static final long CLOCK_AHEAD_MS = 500_000;

  private PollResults() {}

  /** Returns a list of runs without progress and of ends. */
  static PollResult.Listed listed(long nowMs, List<RunRef> running, PollResult.Ended... ended) {
    List<PollResult.Running> entries =
        running.stream().map(run -> new PollResult.Running(run, 0)).toList();
    return new PollResult.Listed(clockMs(nowMs), entries, List.of(ended));
  }

  /** Returns the time of the worker's clock at a time of the host's clock. */
  static long clockMs(long nowMs) {
    return CLOCK_AHEAD_MS + nowMs;
  }
}
