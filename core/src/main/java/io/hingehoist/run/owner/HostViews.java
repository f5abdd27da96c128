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
 * The hosts that an owner has sessions with, and which of them get work: those that are followed
 * closely first, and none while its session has no connection. Owned by {@link JobOwner}.
 */
final class HostViews {
  private final FollowedHosts followed;
  private final Map<String, HostView> hosts = new LinkedHashMap<>();

  /** Those without a connection, which may be back in a moment. */
  private final Set<String> suspended = new HashSet<>();

  private List<HostView> followedViews = List.of();
  private List<HostView> allViews = List.of();

  HostViews(FollowedHosts followed) {
    this.followed = followed;
  }

  /** Adds a host with a session; returns whether it is new. */
  boolean add(String hostId, String zone) {
    if (hosts.containsKey(hostId)) {
      return false;
    }
    hosts.put(hostId, new HostView(hostId));
    followed.add(hostId, zone);
    sort();
    return true;
  }

  /** Removes a host whose session is over; returns whether it was there. */
  boolean remove(String hostId) {
    if (hosts.remove(hostId) == null) {
      return false;
    }
    suspended.remove(hostId);
    followed.remove(hostId);
    sort();
    return true;
  }

  /** Gives a host nothing new until its session has a connection again. */
  void suspend(String hostId) {
    if (hosts.containsKey(hostId) && suspended.add(hostId)) {
      sort();
    }
  }

  /** Takes it that a session has a connection; returns whether it had none. */
  boolean resume(String hostId) {
    boolean wasSuspended = suspended.remove(hostId);
    if (wasSuspended) {
      sort();
    }
    return wasSuspended;
  }

  /** Sorts the hosts by whether they are followed, which changes only as they come and go. */
  private void sort() {
    List<HostView> near = new ArrayList<>();
    List<HostView> others = new ArrayList<>();
    for (HostView host : hosts.values()) {
      if (!suspended.contains(host.hostId)) {
        (followed.contains(host.hostId) ? near : others).add(host);
      }
    }
    followedViews = List.copyOf(near);
    near.addAll(others);
    allViews = List.copyOf(near);
  }

  Optional<HostView> find(String hostId) {
    return Optional.ofNullable(hosts.get(hostId));
  }

  boolean contains(String hostId) {
    return hosts.containsKey(hostId);
  }

  /** Returns the worker on which a task was ordered last, as its host shows it. */
  Optional<WorkerView> workerOf(OwnedTask task) {
    return find(task.hostId()).flatMap(host -> host.worker(task.workerId()));
  }

  /** Follows another number of hosts closely; returns those that are followed since then. */
  Set<String> follow(int count) {
    Set<String> added = followed.follow(count);
    if (!added.isEmpty()) {
      sort();
    }
    return added;
  }

  boolean follows(String hostId) {
    return followed.contains(hostId);
  }

  int followedCount() {
    return followed.size();
  }

  /** Returns the followed hosts that have a connection. */
  List<HostView> followed() {
    return followedViews;
  }

  /** Returns the followed hosts that have a connection, then the others that have one. */
  List<HostView> all() {
    return allViews;
  }

  /** Returns whether workers of a job's service are known, and a task of it fits none of them. */
  boolean isWiderThanAll(JobPlan plan) {
    return plan.steps().stream().anyMatch(step -> isWiderThanAll(plan.service(), step));
  }

  private boolean isWiderThanAll(String service, StepPlan step) {
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

  /** Returns the processor of a host's workers, the mean of all; 0 if none is known. */
  double meanCpuMilli() {
    return hosts.values().stream()
        .mapToLong(HostView::cpuMilli)
        .filter(cpuMilli -> cpuMilli > 0)
        .average()
        .orElse(0);
  }

  /** Returns whether a worker is known that takes runs. */
  boolean hasReadyWorker(long nowMs) {
    return hosts.values().stream()
        .map(HostView::workers)
        .flatMap(Collection::stream)
        .anyMatch(worker -> worker.takesRuns(nowMs));
  }
}
