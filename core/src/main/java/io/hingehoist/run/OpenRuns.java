package io.hingehoist.run;

import io.hingehoist.message.Message;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import java.util.HashSet;
import java.util.Set;

/**
 * The runs of one session that its owner ordered and that are not reported over.
 *
 * <p>Few pairs of an owner and a host have one at any moment. Only where there is one does the
 * owner renew its lease at short intervals, and only there is a silent connection noticed at once;
 * the others say little, so that messages don't grow with the product of owners and hosts. Not
 * thread-safe.
 */
public final class OpenRuns {
  private final Set<RunRef> runs = new HashSet<>();

  private OpenRuns() {}

  /** Creates the runs of a new session. */
  public static OpenRuns create() {
    return new OpenRuns();
  }

  /** Takes note of a message of the session, sent or received, once. */
  public void record(Message message) {
    switch (message) {
      case StartRuns order -> runs.addAll(order.runs());
      case RunEnded report -> runs.remove(report.run());
      case RunNotStarted report -> runs.remove(report.run());
      default -> {}
    }
  }

  /** Returns whether nothing that was ordered may be going on. */
  public boolean isEmpty() {
    return runs.isEmpty();
  }
}
