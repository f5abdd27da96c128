package io.hingehoist.bench;

import java.util.Map;
import java.util.Set;

/**
 * One row of the benchmark's table. The gap of a response is its time beyond the duration of its
 * longest task and the delay of the links; percentiles of gaps are in milliseconds.
 *
 * @param name the name of the load, such as {@code twoChoices 70%}
 * @param note an additional remark, or empty
 */
record BenchRow(
    String name,
    double fastP50,
    double fastP99,
    double fastP999,
    double onceP50,
    double onceP99,
    double jobP50,
    double jobP99,
    double messagesPerTask,
    double wastedPerTask,
    double bytesPerTask,
    double tasksPerSecond,
    int lateAnswers,
    Map<String, Integer> outcomes,
    Map<String, Long> messagesByType,
    String note) {

  /**
   * The time from the start of a load that its throughput leaves out: the first tasks have to end.
   */
  private static final long RAMP_UP_MS = 2_000;

  private static final Set<String> EXTRA_TYPES =
      Set.of("RetireJobs", "RevokeTask", "RunRefused", "TaskNotStarted", "FenceJob", "FenceReport");

  static BenchRow of(String name, LoadResult result, double seconds, String note) {
    return new BenchRow(
        name,
        result.gapMs(Arrival.Kind.REPEATABLE, 50),
        result.gapMs(Arrival.Kind.REPEATABLE, 99),
        result.gapMs(Arrival.Kind.REPEATABLE, 99.9),
        result.gapMs(Arrival.Kind.NON_REPEATABLE, 50),
        result.gapMs(Arrival.Kind.NON_REPEATABLE, 99),
        result.gapMs(Arrival.Kind.JOB, 50),
        result.gapMs(Arrival.Kind.JOB, 99),
        result.messagesPerTask(),
        result.wastedPerTask(),
        result.bytesPerTask(),
        result.tasksPerSecond(RAMP_UP_MS, (long) (1_000 * seconds)),
        result.lateAnswers(),
        result.outcomes(),
        result.messages().sent(),
        note);
  }

  /** Returns the number of messages other than starts and results, by type. */
  private String extraMessages() {
    StringBuilder text = new StringBuilder();
    messagesByType.forEach(
        (type, count) -> {
          boolean extra = type.startsWith("Credit") || EXTRA_TYPES.contains(type);
          if (extra) {
            text.append(" ").append(type).append("=").append(count);
          }
        });
    return text.toString();
  }

  static String header() {
    return "%-24s %8s %8s %8s %8s %8s %8s %8s %7s %7s %7s %7s %5s  %s"
        .formatted(
            "run",
            "fast50",
            "fast99",
            "fast99.9",
            "once50",
            "once99",
            "job50",
            "job99",
            "msg/t",
            "waste/t",
            "B/task",
            "task/s",
            "late",
            "outcomes");
  }

  @Override
  public String toString() {
    return "%-24s %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f %7.3f %7.3f %7.0f %7.1f %5d  %s %s"
        .formatted(
            name,
            fastP50,
            fastP99,
            fastP999,
            onceP50,
            onceP99,
            jobP50,
            jobP99,
            messagesPerTask,
            wastedPerTask,
            bytesPerTask,
            tasksPerSecond,
            lateAnswers,
            outcomes,
            extraMessages() + " " + note);
  }
}
