package io.hingehoist.cluster;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The messages that the processes of a cluster sent, by type, as their metrics tell.
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
  private static final Set<String> LOG_TRAFFIC =
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

  /** Reads the metrics of every process. */
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

  private static void add(String page, Map<String, Long> sent, Map<String, Long> bytes) {
    Matcher lines = LINE.matcher(page);
    while (lines.find()) {
      Map<String, Long> target = lines.group(1).equals("s") ? sent : bytes;
      target.merge(lines.group(2), (long) Double.parseDouble(lines.group(3)), Long::sum);
    }
  }

  /** Returns what was sent after an earlier count. */
  public MessageCounts since(MessageCounts earlier) {
    return new MessageCounts(minus(sent, earlier.sent), minus(bytes, earlier.bytes));
  }

  private static Map<String, Long> minus(Map<String, Long> later, Map<String, Long> earlier) {
    Map<String, Long> difference = new TreeMap<>();
    later.forEach(
        (type, count) -> {
          long more = count - earlier.getOrDefault(type, 0L);
          if (more > 0) {
            difference.put(type, more);
          }
        });
    return difference;
  }

  /** Returns the messages between entries and agents, without heartbeats. */
  public long taskMessages() {
    return sum(sent);
  }

  /** Returns the bytes of the messages between entries and agents, without heartbeats. */
  public long taskBytes() {
    return sum(bytes);
  }

  /** Returns the messages beyond a start and an answer for each completed task. */
  public long wasted(long completedTasks) {
    return taskMessages() - 2 * completedTasks;
  }

  /** Returns the heartbeats. */
  public long heartbeats() {
    return HEARTBEATS.stream().mapToLong(type -> sent.getOrDefault(type, 0L)).sum();
  }

  private static long sum(Map<String, Long> counts) {
    return counts.entrySet().stream()
        .filter(e -> !HEARTBEATS.contains(e.getKey()) && !LOG_TRAFFIC.contains(e.getKey()))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }
}
