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
 */
public record Identity(String replicaId, String clusterId) {
  private static final String FILE = "identity.properties";

  /** Returns a new random identity without a cluster. */
  public static Identity random() {
    return new Identity(UUID.randomUUID().toString(), "");
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
    return Optional.of(new Identity(replicaId, properties.getProperty("clusterId", "")));
  }

  /** Writes this identity durably to a folder. */
  public void write(Path folder, Disk disk) throws IOException {
    String text = "replicaId=" + replicaId + "\nclusterId=" + clusterId + "\n";
    ByteBuffer content = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    disk.writeAtomically(folder.resolve(FILE), content);
  }

  /** Returns this identity with the given cluster id. */
  public Identity inCluster(String newClusterId) {
    return new Identity(replicaId, newClusterId);
  }
}
