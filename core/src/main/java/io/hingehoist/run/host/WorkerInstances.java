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
final class WorkerInstances {
  /** A host stands beside one worker; the others are those that it had before. */
  private static final int MAX_NEWEST_STARTS = 64;

  private final Map<String, WorkerInstance> instances = new LinkedHashMap<>();

  /** When the newest life began that was known of each worker, the oldest worker first. */
  private final Map<String, Long> newestStarts = new LinkedHashMap<>();

  void add(WorkerInstance instance) {
    instances.put(instance.id(), instance);
    String workerId = instance.info().workerId();
    newestStarts.remove(workerId);
    newestStarts.put(workerId, instance.startedAtEpochMs());
    if (newestStarts.size() > MAX_NEWEST_STARTS) {
      newestStarts.remove(newestStarts.keySet().iterator().next());
    }
  }

  /** Returns whether an account is of a life before the newest one that was known. */
  boolean isOfFormerInstance(WorkerInfo heartbeat) {
    return heartbeat.startedAtEpochMs() < newestStarts.getOrDefault(heartbeat.workerId(), 0L);
  }

  /** Returns whether a worker of this name was known in an earlier life. */
  boolean hasFormerInstance(WorkerInfo heartbeat) {
    Long startedAtEpochMs = newestStarts.get(heartbeat.workerId());
    return startedAtEpochMs != null && startedAtEpochMs < heartbeat.startedAtEpochMs();
  }

  /** Returns the life of a worker, by the name that all its lives have. */
  Optional<WorkerInstance> ofWorker(String workerId) {
    return instances.values().stream()
        .filter(instance -> instance.info().workerId().equals(workerId))
        .findFirst();
  }

  void remove(WorkerInstance instance) {
    instances.remove(instance.id());
  }

  Optional<WorkerInstance> find(String instanceId) {
    return Optional.ofNullable(instances.get(instanceId));
  }

  /** Returns all lives; the list does not change with them. */
  Collection<WorkerInstance> all() {
    return List.copyOf(instances.values());
  }

  int size() {
    return instances.size();
  }

  boolean hasAddress(String address) {
    return instances.values().stream()
        .anyMatch(instance -> instance.info().address().equals(address));
  }

  boolean isIdle() {
    return instances.values().stream().noneMatch(WorkerInstance::hasRuns);
  }

  int runCount() {
    return instances.values().stream().mapToInt(instance -> instance.runs().size()).sum();
  }

  boolean hasRunsOf(long sessionId) {
    return instances.values().stream()
        .flatMap(instance -> instance.runs().stream())
        .anyMatch(run -> run.sessionId == sessionId);
  }
}
