package io.hingehoist.bench;

import io.hingehoist.cluster.MessageCounts;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The results of a load as callers saw them. Recording answers is thread-safe; reading is safe once
 * all answers are recorded.
 */
final class LoadResult {
  private static final int BUCKET_MS = 250;

  private final Map<Arrival.Kind, Histogram> gapMicros = new EnumMap<>(Arrival.Kind.class);
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private final TreeMap<Long, Integer> completedTasksByBucket = new TreeMap<>();
  private int completedTasks;
  private int lateAnswers;
  private long lastEndMs;
  private MessageCounts messages;

  LoadResult() {
    for (Arrival.Kind kind : Arrival.Kind.values()) {
      gapMicros.put(kind, new Histogram(3));
    }
  }

  synchronized void recordAnswer(
      Arrival arrival, String outcome, long endMs, long answerGapMicros, boolean late) {
    outcomes.merge(outcome, 1, Integer::sum);
    lateAnswers += late ? 1 : 0;
    lastEndMs = Math.max(lastEndMs, endMs);
    if (outcome.equals("complete")) {
      gapMicros.get(arrival.kind()).recordValue(Math.max(0, answerGapMicros));
      completedTasks += arrival.taskMs().size();
      completedTasksByBucket.merge(endMs / BUCKET_MS, arrival.taskMs().size(), Integer::sum);
    }
  }

  void setMessages(MessageCounts sentMessages) {
    messages = sentMessages;
  }

  double gapMs(Arrival.Kind kind, double percentile) {
    return gapMicros.get(kind).getValueAtPercentile(percentile) / 1_000.0;
  }

  Map<String, Integer> outcomes() {
    return Map.copyOf(outcomes);
  }

  int completedTasks() {
    return completedTasks;
  }

  /** Returns the number of answers that arrived after the deadline. */
  int lateAnswers() {
    return lateAnswers;
  }

  double wastedPerTask() {
    return (double) messages.wasted(completedTasks) / completedTasks;
  }

  double messagesPerTask() {
    return (double) messages.taskMessages() / completedTasks;
  }

  double bytesPerTask() {
    return (double) messages.taskBytes() / completedTasks;
  }

  MessageCounts messages() {
    return messages;
  }

  /** Returns the number of completed tasks per second between two times. */
  double tasksPerSecond(long fromMs, long toMs) {
    int tasks =
        completedTasksByBucket.subMap(fromMs / BUCKET_MS, toMs / BUCKET_MS).values().stream()
            .mapToInt(Integer::intValue)
            .sum();
    return tasks * 1_000.0 / (toMs - fromMs);
  }

  /**
   * Returns the time from a moment until the throughput over one second reaches a rate, or -1 if it
   * never does.
   */
  long msUntilRate(long fromMs, double rate) {
    for (long ms = fromMs; ms + 1_000 <= lastEndMs; ms += BUCKET_MS) {
      if (tasksPerSecond(ms, ms + 1_000) >= rate) {
        return ms - fromMs;
      }
    }
    return -1;
  }
}
