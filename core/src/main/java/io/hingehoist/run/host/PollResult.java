package io.hingehoist.run.host;

import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunRef;
import java.util.List;

/** What a worker says of its runs. */
public sealed interface PollResult {

  /**
   * An end that the worker lists.
   *
   * @param number counts the ends of one life of the worker, from 1
   */
  record Ended(long number, RunRef run, RunEnd end) {}

  /**
   * A run that goes on.
   *
   * @param percent how much of it is done, 0 to 100
   */
  record Running(RunRef run, int percent) {}

  /**
   * The runs that go on, and the ends after the one that was last taken note of.
   *
   * @param startedAtEpochMs when the life began that lists them; 0 where workers don't tell
   */
  record Listed(long workerClockMs, long startedAtEpochMs, List<Running> running, List<Ended> ended)
      implements PollResult {
    /** Creates the list of a worker that does not tell when its life began. */
    public Listed(long workerClockMs, List<Running> running, List<Ended> ended) {
      this(workerClockMs, 0, running, ended);
    }

    /** Copies the lists. */
    public Listed {
      running = List.copyOf(running);
      ended = List.copyOf(ended);
    }

    boolean contains(RunRef run) {
      return running.stream().anyMatch(row -> row.run().equals(run));
    }
  }

  /** The worker did nothing, as the token was lower than one that it has seen. */
  record Fenced(long workerClockMs) implements PollResult {}

  /** Nothing is known. */
  record Unanswered() implements PollResult {}

  /** Another life answered: the one that was meant is over. */
  record OtherInstance() implements PollResult {}

  /** The connection was refused. */
  record ConnectionRefused() implements PollResult {}
}
