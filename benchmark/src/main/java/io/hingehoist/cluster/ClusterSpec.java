package io.hingehoist.cluster;

import java.util.Map;

/**
 * Describes the processes of a local cluster.
 *
 * @param servers the number of processes with the roles entry and control, each in a zone of its
 *     own
 * @param agents the number of agents, which are spread over the zones
 * @param service the service that the backend servers offer
 * @param slots the number of slots of each agent
 * @param controlSettings the fields of the control section that differ from their defaults
 * @param serverFlags additional JVM flags of the servers
 */
public record ClusterSpec(
    int servers,
    int agents,
    String service,
    int slots,
    Map<String, String> controlSettings,
    String serverFlags) {

  /** Copies the map of settings. */
  public ClusterSpec {
    controlSettings = Map.copyOf(controlSettings);
  }

  /** Returns a specification with the default settings. */
  public static ClusterSpec of(int servers, int agents, String service, int slots) {
    return new ClusterSpec(servers, agents, service, slots, Map.of(), "");
  }

  /**
   * Returns this specification with servers that compile with C1 only, because short-lived
   * processes gain nothing from the optimizing compiler.
   */
  public ClusterSpec withC1CompilerOnly() {
    return new ClusterSpec(
        servers, agents, service, slots, controlSettings, "-XX:TieredStopAtLevel=1");
  }

  /** Returns this specification with one more field of the control section. */
  public ClusterSpec withControl(String field, String value) {
    Map<String, String> settings = new java.util.HashMap<>(controlSettings);
    settings.put(field, value);
    return new ClusterSpec(servers, agents, service, slots, settings, serverFlags);
  }
}
