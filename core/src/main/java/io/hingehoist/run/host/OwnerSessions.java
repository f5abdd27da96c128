package io.hingehoist.run.host;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongPredicate;

/**
 * The connections of owners to a host, and whose those were that ended while runs of theirs went
 * on. Owned by {@link WorkerHost}.
 */
final class OwnerSessions {
  private final Map<Long, OwnerSession> open = new LinkedHashMap<>();
  private final Map<Long, String> ownersOfEnded = new HashMap<>();

  /** Returns the open connections; the list does not change with them. */
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

  /** Returns the open connection of an owner. */
  Optional<OwnerSession> ofOwner(String ownerId) {
    return open.values().stream().filter(session -> session.ownerId.equals(ownerId)).findFirst();
  }

  void add(OwnerSession session) {
    open.put(session.id, session);
  }

  /** Ends a connection, and returns it if it was open. */
  Optional<OwnerSession> end(long sessionId) {
    OwnerSession session = open.remove(sessionId);
    if (session != null) {
      ownersOfEnded.put(sessionId, session.ownerId);
    }
    return Optional.ofNullable(session);
  }

  /** Returns whether a connection has ended and was one of the owner of another. */
  boolean isFormer(long sessionId, OwnerSession session) {
    return sessionId != session.id && session.ownerId.equals(ownersOfEnded.get(sessionId));
  }

  /** Forgets the connections that ended and have no runs any more. */
  void removeEndedWithoutRuns(LongPredicate hasRuns) {
    ownersOfEnded.keySet().removeIf(id -> !hasRuns.test(id));
  }

  /** Returns the connection whose work comes first of those that wait for room of a service. */
  Optional<OwnerSession> mostUrgent(String service) {
    return open.values().stream()
        .filter(session -> session.hasWaitingTasks(service))
        .min(OwnerSession.byUrgency(service));
  }
}
