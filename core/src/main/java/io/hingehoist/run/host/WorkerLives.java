package io.hingehoist.run.host;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The lives of workers that a host calls, by their ids. Owned by {@link WorkerHost}. */
final class WorkerLives {
  private final Map<String, WorkerLife> lives = new LinkedHashMap<>();

  void add(WorkerLife life) {
    lives.put(life.id(), life);
  }

  void remove(WorkerLife life) {
    lives.remove(life.id());
  }

  Optional<WorkerLife> find(String workerId) {
    return Optional.ofNullable(lives.get(workerId));
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
