package io.hingehoist.journal;

import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Properties;
import java.util.UUID;

/**
 * The identity of a replica. It is stored on the disk: a replica that lost its disk returns under
 * another identity, so that it cannot violate a vote or acknowledgement that it no longer knows of.
 *
 * @param replicaId random, generated when the disk was blank
 * @param clusterId the cluster that the disk belongs to; empty if it has joined none yet
 * @param foundingId the id of the cluster that the replicas of the first start found; empty if the
 *     disk is not of the first start
 */
public record Identity(String replicaId, String clusterId, String foundingId) {
  private static final String FILE = "identity.properties";

  /**
   * Returns a new random identity without a cluster.
   *
   * @param foundingId the id of the cluster to found; empty if this is not the first start
   */
  public static Identity random(String foundingId) {
    return new Identity(UUID.randomUUID().toString(), "", foundingId);
  }

  /** Returns the identity stored in a folder; empty if there is none. */
  public static Optional<Identity> read(Path folder) throws IOException {
    Path file = folder.resolve(FILE);
    if (!Files.exists(file)) {
      return Optional.empty();
    }
    Properties properties = new Properties();
    properties.load(new StringReader(Files.readString(file)));
    String replicaId = properties.getProperty("replicaId", "");
    if (replicaId.isEmpty()) {
      throw DamageException.at(file, 0, "replicaId is missing");
    }
    return Optional.of(
        new Identity(
            replicaId,
            properties.getProperty("clusterId", ""),
            properties.getProperty("foundingId", "")));
  }

  /** Writes this identity durably to a folder. */
  public void write(Path folder, Disk disk) throws IOException {
    String text =
        "replicaId=%s\nclusterId=%s\nfoundingId=%s\n".formatted(replicaId, clusterId, foundingId);
    ByteBuffer content = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    disk.writeAtomically(folder.resolve(FILE), content);
  }

  /** Returns this identity with the given cluster id. */
  public Identity inCluster(String newClusterId) {
    return new Identity(replicaId, newClusterId, foundingId);
  }

  /** Returns this identity as that of a disk of the first start. */
  Identity ofFirstStart(String newFoundingId) {
    return new Identity(replicaId, clusterId, newFoundingId);
  }
}
