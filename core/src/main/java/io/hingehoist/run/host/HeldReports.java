package io.hingehoist.run.host;

import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunRef;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Reports of ended runs that are held back, because a start call without a response may still be
 * carried out by a later instance of the worker while the owner runs the task elsewhere. Not
 * thread-safe: confined to the event-loop thread.
 */
final class HeldReports {
  /** A report to the owner of a session, which is released at a time at the latest. */
  record Held(String workerId, long sessionId, RunEnded report, long releaseAtMs) {}

  private record Key(long sessionId, RunRef run) {}

  private final Map<Key, Held> reports = new LinkedHashMap<>();

  void add(Held held) {
    reports.put(new Key(held.sessionId(), held.report().run()), held);
  }

  boolean contains(long sessionId, RunRef run) {
    return reports.containsKey(new Key(sessionId, run));
  }

  /** Removes and returns the reports that are due. */
  List<Held> removeDue(long nowMs) {
    return removeIf(held -> nowMs >= held.releaseAtMs());
  }

  /** Removes and returns the reports of runs at a worker, by the name shared by its instances. */
  List<Held> removeOfWorker(String workerId) {
    return removeIf(held -> held.workerId().equals(workerId));
  }

  /** Removes the reports to a session that has ended. */
  void removeOfSession(long sessionId) {
    reports.values().removeIf(held -> held.sessionId() == sessionId);
  }

  private List<Held> removeIf(Predicate<Held> condition) {
    List<Held> removed = new ArrayList<>();
    for (Held held : List.copyOf(reports.values())) {
      if (condition.test(held)) {
        reports.remove(new Key(held.sessionId(), held.report().run()));
        removed.add(held);
      }
    }
    return removed;
  }
}
