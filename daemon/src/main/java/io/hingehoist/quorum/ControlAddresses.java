package io.hingehoist.quorum;

import io.hingehoist.settings.NodeSection;
import io.hingehoist.wire.Addresses;
import java.util.List;

/** Static helpers for the addresses of control replicas in the settings. */
public final class ControlAddresses {
  private ControlAddresses() {}

  /**
   * Returns the addresses at which the control replicas in the settings accept peer connections.
   */
  public static List<String> of(NodeSection node) {
    if (node.peerPort() == 0) {
      return node.controlAddresses();
    }
    return node.controlAddresses().stream()
        .map(address -> Addresses.host(address) + ':' + node.peerPort())
        .distinct()
        .toList();
  }
}
