package io.hingehoist.cluster;

import java.util.Map;

/**
 * What a local cluster consists of.
 *
 * @param servers processes with the roles entry and control, each in a zone of its own
 * @param agents agents, spread over the zones
 * @param service the service that the backend servers offer
 * @param slots the slots of each agent
 * @param controlSettings values that differ from the defaults of the control section
 * @param serverFlags more flags of the virtual machines of servers
 */
public record ClusterSpec(
    int servers,
    int agents,
    String service,
    int slots,
    Map<String, String> controlSettings,
    String serverFlags) {

  /** Copies the settings. */
  public ClusterSpec {
    controlSettings = Map.copyOf(controlSettings);
  }

  /** Returns a shape with the default settings. */
  public static ClusterSpec of(int servers, int agents, String service, int slots) {
    return new ClusterSpec(servers, agents, service, slots, Map.of(), "");
  }

  /** Returns this shape for processes that live too short to be worth optimizing. */
  public ClusterSpec withC1CompilerOnly() {
    return new ClusterSpec(
        servers, agents, service, slots, controlSettings, "-XX:TieredStopAtLevel=1");
  }

  /** Returns this shape with one more value of the control section. */
  public ClusterSpec withControl(String field, String value) {
    Map<String, String> settings = new java.util.HashMap<>(controlSettings);
    settings.put(field, value);
    return new ClusterSpec(servers, agents, service, slots, settings, serverFlags);
  }
}
