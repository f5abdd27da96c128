package io.hingehoist.run.host;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongPredicate;

/**
 * The open sessions of a host, and the owners of ended sessions that still have runs. Not
 * thread-safe: confined to the event-loop thread.
 */
final class OwnerSessions {
  private final Map<Long, OwnerSession> open = new LinkedHashMap<>();
  private final Map<Long, String> ownersOfEndedSessions = new HashMap<>();

  /** Returns a snapshot of the open sessions. */
  Collection<OwnerSession> all() {
    return List.copyOf(open.values());
  }

  int size() {
    return open.size();
  }

  boolean isOpen(long sessionId) {
    return open.containsKey(sessionId);
  }

  Optional<OwnerSession> find(long sessionId) {
    return Optional.ofNullable(open.get(sessionId));
  }

  /** Returns the open session of an owner. */
  Optional<OwnerSession> ofOwner(String ownerId) {
    return open.values().stream().filter(session -> session.ownerId.equals(ownerId)).findFirst();
  }

  void add(OwnerSession session) {
    open.put(session.id, session);
  }

  /** Ends a session and returns it if it was open. */
  Optional<OwnerSession> end(long sessionId) {
    OwnerSession session = open.remove(sessionId);
    if (session != null) {
      ownersOfEndedSessions.put(sessionId, session.ownerId);
    }
    return Optional.ofNullable(session);
  }

  /** Returns whether a session has ended and belonged to the owner of another session. */
  boolean isFormer(long sessionId, OwnerSession session) {
    return sessionId != session.id && session.ownerId.equals(ownersOfEndedSessions.get(sessionId));
  }

  /** Removes the ended sessions that have no runs left. */
  void removeEndedWithoutRuns(LongPredicate hasRuns) {
    ownersOfEndedSessions.keySet().removeIf(id -> !hasRuns.test(id));
  }

  /** Returns the session with the most urgent waiting tasks of a service. */
  Optional<OwnerSession> mostUrgent(String service) {
    return open.values().stream()
        .filter(session -> session.hasWaitingTasks(service))
        .min(OwnerSession.byUrgency(service));
  }
}
