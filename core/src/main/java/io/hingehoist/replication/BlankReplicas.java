package io.hingehoist.replication;

import io.hingehoist.message.JoinRequest;
import io.hingehoist.message.ReplicaInfo;
import io.hingehoist.message.ReplicaSet;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The replicas that hold no entries, as far as a blank replica has heard, from which it can found a
 * cluster. Not thread-safe: confined to the control thread.
 *
 * <p>What a cluster accepts is on the disks of a majority of {@code voterCount} replicas, and fewer
 * disks than that majority may be lost at once. So while any entry must be kept, fewer than {@code
 * voterCount} replicas are blank.
 */
final class BlankReplicas {
  private record Heard(ReplicaInfo replica, long atMs) {}

  private final Map<String, Heard> byAddress = new TreeMap<>();
  private boolean clusterExists;

  /** Records a request of a replica to join, which names a cluster if the replica holds entries. */
  void onJoinRequest(JoinRequest request, long nowMs) {
    if (!request.clusterId().isEmpty()) {
      clusterExists = true;
      return;
    }
    ReplicaInfo replica = new ReplicaInfo(request.replicaId(), request.address());
    byAddress.put(request.address(), new Heard(replica, nowMs));
  }

  /** Records a message that only a member of a cluster sends. */
  void onClusterMessage() {
    clusterExists = true;
  }

  /**
   * Returns the voters of a new cluster; empty while too few replicas are known to be blank, or if
   * a cluster exists.
   *
   * @param self the blank replica that asks
   * @param oldestMs the time before which a statement is too old
   */
  Optional<ReplicaSet> newVoters(ReplicaInfo self, int voterCount, long oldestMs) {
    byAddress.values().removeIf(heard -> heard.atMs() < oldestMs);
    byAddress.remove(self.address());
    if (clusterExists || byAddress.size() + 1 < voterCount) {
      return Optional.empty();
    }
    Stream<ReplicaInfo> others = byAddress.values().stream().map(Heard::replica);
    return Optional.of(
        new ReplicaSet(Stream.concat(Stream.of(self), others).limit(voterCount).toList()));
  }
}
