package io.hingehoist.run;

import io.hingehoist.message.Message;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import java.util.HashSet;
import java.util.Set;

/**
 * The runs of one session that its owner has ordered and whose end has not been reported.
 *
 * <p>At any time few pairs of an owner and a host share such a run. Only these pairs renew the
 * owner's lease at short intervals and detect a silent connection quickly. All other pairs exchange
 * few messages, as their number would otherwise grow with the product of owners and hosts. Not
 * thread-safe.
 */
public final class OpenRuns {
  private final Set<RunRef> runs = new HashSet<>();

  private OpenRuns() {}

  /** Creates the empty set of a new session. */
  public static OpenRuns create() {
    return new OpenRuns();
  }

  /** Processes a message of the session; called once for each message sent or received. */
  public void apply(Message message) {
    switch (message) {
      case StartRuns order -> runs.addAll(order.runs());
      case RunEnded report -> runs.remove(report.run());
      case RunNotStarted report -> runs.remove(report.run());
      default -> {}
    }
  }

  /** Returns whether no ordered run can be active. */
  public boolean isEmpty() {
    return runs.isEmpty();
  }
}
