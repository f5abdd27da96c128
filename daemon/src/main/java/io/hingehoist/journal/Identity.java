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
 * Who a replica is. It lives and dies with the disk: a replica that lost its disk comes back under
 * another identity, so that it can't break a promise that it no longer knows of.
 *
 * @param replicaId made at random when the disk was blank
 * @param clusterId the cluster that the disk belongs to; empty for none yet
 */
public record Identity(String replicaId, String clusterId) {
  private static final String FILE = "identity.properties";

  /** Returns a new identity. */
  public static Identity random() {
    return new Identity(UUID.randomUUID().toString(), "");
  }

  /** Returns the identity in a folder; empty if the folder has none. */
  public static Optional<Identity> read(Path folder) throws IOException {
    Path file = folder.resolve(FILE);
    if (!Files.exists(file)) {
      return Optional.empty();
    }
    Properties properties = new Properties();
    properties.load(new StringReader(Files.readString(file)));
    String replicaId = properties.getProperty("replicaId", "");
    if (replicaId.isEmpty()) {
      throw DamageException.at(file, 0, "no replicaId");
    }
    return Optional.of(new Identity(replicaId, properties.getProperty("clusterId", "")));
  }

  /** Writes this identity into a folder, durably. */
  public void write(Path folder, Disk disk) throws IOException {
    String text = "replicaId=" + replicaId + "\nclusterId=" + clusterId + "\n";
    ByteBuffer content = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    disk.writeAtomically(folder.resolve(FILE), content);
  }

  /** Returns this identity bound to a cluster. */
  public Identity inCluster(String newClusterId) {
    return new Identity(replicaId, newClusterId);
  }
}
