package io.hingehoist.cluster;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The messages that the processes of a cluster have sent, by type, according to their metrics.
 *
 * @param sent the number of messages by type
 * @param bytes the number of bytes by type
 */
public record MessageCounts(Map<String, Long> sent, Map<String, Long> bytes) {
  private static final Pattern LINE =
      Pattern.compile(
          "hingehoist_message(s|_bytes)_total\\{direction=\"sent\",type=\"(\\w+)\"} (\\S+)");
  private static final Set<String> HEARTBEATS =
      Set.of("Hello", "AgentStatus", "HeartbeatRequest", "HeartbeatResponse");
  private static final Set<String> CONTROL_MESSAGES =
      Set.of(
          "VoteRequest",
          "VoteResponse",
          "AppendRequest",
          "AppendResponse",
          "SnapshotChunk",
          "SnapshotAck",
          "JoinRequest",
          "ProposeRequest",
          "ProposeResponse",
          "QueryRequest",
          "QueryResponse");

  /** Returns the counts that the metrics of all processes report now. */
  public static MessageCounts of(LocalCluster cluster) {
    Map<String, Long> sent = new TreeMap<>();
    Map<String, Long> bytes = new TreeMap<>();
    for (int i = 1; i <= cluster.spec().servers(); i++) {
      add(cluster.body(cluster.httpAddress(i), "/metrics"), sent, bytes);
    }
    for (int i = 1; i <= cluster.spec().agents(); i++) {
      add(cluster.body(cluster.metricsAddress(i), "/metrics"), sent, bytes);
    }
    return new MessageCounts(sent, bytes);
  }

  private static void add(String metricsText, Map<String, Long> sent, Map<String, Long> bytes) {
    Matcher lines = LINE.matcher(metricsText);
    while (lines.find()) {
      Map<String, Long> counts = lines.group(1).equals("s") ? sent : bytes;
      counts.merge(lines.group(2), (long) Double.parseDouble(lines.group(3)), Long::sum);
    }
  }

  /** Returns the difference between these counts and earlier ones. */
  public MessageCounts since(MessageCounts earlier) {
    return new MessageCounts(minus(sent, earlier.sent), minus(bytes, earlier.bytes));
  }

  private static Map<String, Long> minus(Map<String, Long> later, Map<String, Long> earlier) {
    Map<String, Long> difference = new TreeMap<>();
    later.forEach(
        (type, count) -> {
          long increase = count - earlier.getOrDefault(type, 0L);
          if (increase > 0) {
            difference.put(type, increase);
          }
        });
    return difference;
  }

  /** Returns the number of messages between entries and agents, without heartbeats. */
  public long taskMessages() {
    return sumOfTaskMessages(sent);
  }

  /** Returns the number of bytes of messages between entries and agents, without heartbeats. */
  public long taskBytes() {
    return sumOfTaskMessages(bytes);
  }

  /** Returns the number of messages beyond one start and one result for each completed task. */
  public long wasted(long completedTasks) {
    return taskMessages() - 2 * completedTasks;
  }

  /** Returns the number of heartbeats. */
  public long heartbeats() {
    return HEARTBEATS.stream().mapToLong(type -> sent.getOrDefault(type, 0L)).sum();
  }

  private static long sumOfTaskMessages(Map<String, Long> counts) {
    return counts.entrySet().stream()
        .filter(e -> !HEARTBEATS.contains(e.getKey()) && !CONTROL_MESSAGES.contains(e.getKey()))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }
}
