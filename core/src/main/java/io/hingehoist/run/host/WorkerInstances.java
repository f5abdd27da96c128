package io.hingehoist.run.host;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The worker instances that a host calls, and the newest known start time of each worker. Not
 * thread-safe: confined to the event-loop thread.
 */
final class WorkerInstances {
  /** A host serves one worker at a time; the other entries are former workers. */
  private static final int MAX_START_TIMES = 64;

  private final Map<String, WorkerInstance> instances = new LinkedHashMap<>();

  /** The newest known start time by worker, in the order of the last update. */
  private final Map<String, Long> newestStartTimes = new LinkedHashMap<>();

  void add(WorkerInstance instance) {
    instances.put(instance.id(), instance);
    String workerId = instance.info().workerId();
    newestStartTimes.remove(workerId);
    newestStartTimes.put(workerId, instance.startedAtEpochMs());
    if (newestStartTimes.size() > MAX_START_TIMES) {
      newestStartTimes.remove(newestStartTimes.keySet().iterator().next());
    }
  }

  /** Returns whether a heartbeat is from an instance older than the newest known one. */
  boolean isFromFormerInstance(WorkerInfo heartbeat) {
    return heartbeat.startedAtEpochMs() < newestStartTimes.getOrDefault(heartbeat.workerId(), 0L);
  }

  /** Returns whether an older instance of the heartbeat's worker is known. */
  boolean hasFormerInstance(WorkerInfo heartbeat) {
    Long startedAtEpochMs = newestStartTimes.get(heartbeat.workerId());
    return startedAtEpochMs != null && startedAtEpochMs < heartbeat.startedAtEpochMs();
  }

  /** Returns the instance of a worker, by the name shared by all its instances. */
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

  /** Returns a snapshot of all instances. */
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
