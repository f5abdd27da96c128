package io.hingehoist.run.owner;

import io.hingehoist.run.JobPlan;
import io.hingehoist.run.Rooms;
import io.hingehoist.run.StepPlan;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The hosts that an owner has sessions with, in the order in which they get work: followed hosts
 * first. A host whose session is without a connection gets none. Not thread-safe: confined to the
 * thread of its {@link JobOwner}.
 */
final class HostViews {
  private final FollowedHosts followed;
  private final Map<String, HostView> hosts = new LinkedHashMap<>();

  /** The hosts whose sessions are currently without a connection. */
  private final Set<String> suspended = new HashSet<>();

  private List<HostView> followedViews = List.of();
  private List<HostView> allViews = List.of();

  HostViews(FollowedHosts followed) {
    this.followed = followed;
  }

  /** Adds a host when its session opens; returns whether it is new. */
  boolean add(String hostId, String zone) {
    if (hosts.containsKey(hostId)) {
      return false;
    }
    hosts.put(hostId, new HostView(hostId));
    followed.add(hostId, zone);
    rebuildLists();
    return true;
  }

  /** Removes a host when its session ends; returns whether it was present. */
  boolean remove(String hostId) {
    if (hosts.remove(hostId) == null) {
      return false;
    }
    suspended.remove(hostId);
    followed.remove(hostId);
    rebuildLists();
    return true;
  }

  /** Excludes a host from new work until its session has a connection again. */
  void suspend(String hostId) {
    if (hosts.containsKey(hostId) && suspended.add(hostId)) {
      rebuildLists();
    }
  }

  /** Ends the suspension of a host; returns whether it was suspended. */
  boolean resume(String hostId) {
    boolean wasSuspended = suspended.remove(hostId);
    if (wasSuspended) {
      rebuildLists();
    }
    return wasSuspended;
  }

  /** Recomputes the cached lists; called on each change of the hosts or of the followed subset. */
  private void rebuildLists() {
    List<HostView> followedHosts = new ArrayList<>();
    List<HostView> others = new ArrayList<>();
    for (HostView host : hosts.values()) {
      if (!suspended.contains(host.hostId)) {
        (followed.contains(host.hostId) ? followedHosts : others).add(host);
      }
    }
    followedViews = List.copyOf(followedHosts);
    followedHosts.addAll(others);
    allViews = List.copyOf(followedHosts);
  }

  Optional<HostView> find(String hostId) {
    return Optional.ofNullable(hosts.get(hostId));
  }

  boolean contains(String hostId) {
    return hosts.containsKey(hostId);
  }

  /** Returns the view of the worker at which a task was last ordered. */
  Optional<WorkerView> workerOf(OwnedTask task) {
    return find(task.hostId()).flatMap(host -> host.worker(task.workerId()));
  }

  /** Sets the number of hosts to follow; returns the hosts that this adds. */
  Set<String> setFollowedCount(int count) {
    Set<String> added = followed.setMaxHosts(count);
    if (!added.isEmpty()) {
      rebuildLists();
    }
    return added;
  }

  boolean follows(String hostId) {
    return followed.contains(hostId);
  }

  int followedCount() {
    return followed.size();
  }

  /** Returns the followed hosts that are not suspended. */
  List<HostView> followed() {
    return followedViews;
  }

  /** Returns the hosts that are not suspended, followed hosts first. */
  List<HostView> all() {
    return allViews;
  }

  /** Returns whether workers of a job's service are known and some task of the job fits none. */
  boolean fitsNoWorker(JobPlan plan) {
    return plan.steps().stream().anyMatch(step -> fitsNoWorker(plan.service(), step));
  }

  private boolean fitsNoWorker(String service, StepPlan step) {
    boolean known = false;
    for (HostView host : hosts.values()) {
      for (WorkerView worker : host.workers()) {
        if (worker.row().service().equals(service)) {
          known = true;
          if (Rooms.fits(step.need(), worker.row().capacity())) {
            return false;
          }
        }
      }
    }
    return known;
  }

  /** Returns the mean CPU capacity of the hosts that have workers; 0 if there are none. */
  double meanCpuMilli() {
    return hosts.values().stream()
        .mapToLong(HostView::cpuMilli)
        .filter(cpuMilli -> cpuMilli > 0)
        .average()
        .orElse(0);
  }

  /** Returns whether any known worker accepts runs. */
  boolean hasReadyWorker(long nowMs) {
    return hosts.values().stream()
        .map(HostView::workers)
        .flatMap(Collection::stream)
        .anyMatch(worker -> worker.acceptsRuns(nowMs));
  }
}
