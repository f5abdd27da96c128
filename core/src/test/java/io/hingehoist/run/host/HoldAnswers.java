package io.hingehoist.run.host;

import io.hingehoist.message.RunRef;
import java.util.List;

/** Static helpers for answers of a worker that a test plays. */
final class HoldAnswers {
  private static final long CLOCK_AHEAD_MS = 500_000;

  private HoldAnswers() {}

  /** Returns a list of runs that have not got on yet, and of ends. */
  static HoldAnswer.Listed listed(long nowMs, List<RunRef> running, HoldAnswer.Ended... ended) {
    List<HoldAnswer.Running> rows =
        running.stream().map(run -> new HoldAnswer.Running(run, 0)).toList();
    return new HoldAnswer.Listed(CLOCK_AHEAD_MS + nowMs, rows, List.of(ended));
  }
}
