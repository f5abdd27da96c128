package io.hingehoist.run.host;

import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunRef;
import java.util.List;

/** The result of a poll: the list of a worker's runs, or the reason why there is none. */
public sealed interface PollResult {

  /**
   * A run that has ended.
   *
   * @param number the sequence number of the end within the worker instance, from 1
   */
  record Ended(long number, RunRef run, RunEnd end) {}

  /**
   * A run in progress.
   *
   * @param percent how much of it is done, 0 to 100
   */
  record Running(RunRef run, int percent) {}

  /**
   * The runs in progress, and the ends after the last one that the host has processed.
   *
   * @param startedAtEpochMs when the responding instance started; 0 if workers don't report it
   */
  record Listed(long workerClockMs, long startedAtEpochMs, List<Running> running, List<Ended> ended)
      implements PollResult {
    /** Creates the list of a worker that does not report its start time. */
    public Listed(long workerClockMs, List<Running> running, List<Ended> ended) {
      this(workerClockMs, 0, running, ended);
    }

    /** Copies the lists. */
    public Listed {
      running = List.copyOf(running);
      ended = List.copyOf(ended);
    }

    boolean contains(RunRef run) {
      return running.stream().anyMatch(entry -> entry.run().equals(run));
    }
  }

  /** The worker rejected the call because it has seen a higher fencing token. */
  record Fenced(long workerClockMs) implements PollResult {}

  /** There was no valid response, so nothing is known. */
  record Unanswered() implements PollResult {}

  /** Another instance responded: the one that was called has ended. */
  record OtherInstance() implements PollResult {}

  /** The connection was refused. */
  record ConnectionRefused() implements PollResult {}
}
