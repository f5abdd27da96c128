package io.hingehoist.run.host;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The lives of workers that a host calls, and when the newest life of each began. Owned by {@link
 * WorkerHost}.
 */
final class WorkerLives {
  /** A host stands beside one worker; the others are those that it had before. */
  private static final int MAX_KNOWN_BIRTHS = 64;

  private final Map<String, WorkerLife> lives = new LinkedHashMap<>();

  /** When the newest life began that was known of each worker, the oldest worker first. */
  private final Map<String, Long> births = new LinkedHashMap<>();

  void add(WorkerLife life) {
    lives.put(life.id(), life);
    String workerId = life.info().workerId();
    births.remove(workerId);
    births.put(workerId, life.bornMs());
    if (births.size() > MAX_KNOWN_BIRTHS) {
      births.remove(births.keySet().iterator().next());
    }
  }

  /** Returns whether an account is of a life before the newest one that was known. */
  boolean isOfFormerLife(WorkerInfo account) {
    return account.bornMs() < births.getOrDefault(account.workerId(), 0L);
  }

  /** Returns whether a worker of this name was known in an earlier life. */
  boolean hasFormerLife(WorkerInfo account) {
    Long bornMs = births.get(account.workerId());
    return bornMs != null && bornMs < account.bornMs();
  }

  /** Returns the life of a worker, by the name that all its lives have. */
  Optional<WorkerLife> ofWorker(String workerId) {
    return lives.values().stream()
        .filter(life -> life.info().workerId().equals(workerId))
        .findFirst();
  }

  void remove(WorkerLife life) {
    lives.remove(life.id());
  }

  Optional<WorkerLife> find(String lifeId) {
    return Optional.ofNullable(lives.get(lifeId));
  }

  /** Returns all lives; the list does not change with them. */
  Collection<WorkerLife> all() {
    return List.copyOf(lives.values());
  }

  int size() {
    return lives.size();
  }

  boolean hasAddress(String address) {
    return lives.values().stream().anyMatch(life -> life.info().address().equals(address));
  }

  boolean isIdle() {
    return lives.values().stream().noneMatch(WorkerLife::hasRuns);
  }

  int runCount() {
    return lives.values().stream().mapToInt(life -> life.runs().size()).sum();
  }

  boolean hasRunsOf(long sessionId) {
    return lives.values().stream()
        .flatMap(life -> life.runs().stream())
        .anyMatch(run -> run.sessionId == sessionId);
  }
}
