package io.hingehoist.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Static helpers that plan a load: Poisson arrivals of a mix of submissions, drawn from a seed. */
final class ArrivalPlan {
  private static final int JOB_TASKS = 5;
  private static final int MIN_TASK_MS = 50;
  private static final int MAX_TASK_MS = 1_000;
  private static final int STRAGGLER_MS = 3_000;

  /** The mean of the task durations that {@link #taskMs} returns, estimated by sampling. */
  private static final double MEAN_TASK_MS = meanTaskMs();

  /** The mean number of tasks of an arrival: 60 % and 25 % have one task, 15 % have five. */
  private static final double MEAN_TASKS = 0.85 + 0.15 * JOB_TASKS;

  private ArrivalPlan() {}

  /**
   * Plans a load.
   *
   * @param utilization the average share of all slots that the tasks occupy
   * @param burstFactor the factor by which the arrival rate is higher in the middle fifth of the
   *     time
   */
  static List<Arrival> create(
      int slots, double utilization, double burstFactor, long seconds, long seed) {
    Random random = new Random(seed);
    double arrivalsPerSecond = slots * utilization * 1_000 / (MEAN_TASK_MS * MEAN_TASKS);
    List<Arrival> plan = new ArrayList<>();
    double atSeconds = 0;
    while (atSeconds < seconds) {
      boolean burst = atSeconds >= 0.4 * seconds && atSeconds < 0.6 * seconds;
      double rate = arrivalsPerSecond * (burst ? burstFactor : 1);
      atSeconds += -Math.log(1 - random.nextDouble()) / rate;
      plan.add(arrival(plan.size(), atSeconds, random));
    }
    return plan;
  }

  private static Arrival arrival(int index, double atSeconds, Random random) {
    int percent = random.nextInt(100);
    Arrival.Kind kind =
        percent < 60
            ? Arrival.Kind.REPEATABLE
            : percent < 85 ? Arrival.Kind.NON_REPEATABLE : Arrival.Kind.JOB;
    int tasks = kind == Arrival.Kind.JOB ? JOB_TASKS : 1;
    List<Integer> taskMs = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      taskMs.add(taskMs(random));
    }
    long sendAtNanos = (long) (atSeconds * TimeUnit.SECONDS.toNanos(1));
    return new Arrival(index, sendAtNanos, kind, taskMs);
  }

  /**
   * Returns the duration of a task: mostly 50 ms to one second, and three seconds for one task in
   * two hundred.
   */
  private static int taskMs(Random random) {
    if (random.nextInt(200) == 0) {
      return STRAGGLER_MS;
    }
    double sampleMs = MIN_TASK_MS - 150 * Math.log(1 - random.nextDouble());
    return (int) Math.min(MAX_TASK_MS, sampleMs);
  }

  private static double meanTaskMs() {
    Random random = new Random(1);
    return random.ints(100_000).map(ignored -> taskMs(random)).average().orElseThrow();
  }
}
