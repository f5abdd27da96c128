package io.hingehoist.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Static helpers that plan a load: Poisson arrivals of a mix of requests, by seed. */
final class ArrivalPlan {
  private static final int JOB_TASKS = 5;
  private static final int MIN_TASK_MS = 50;
  private static final int MAX_TASK_MS = 1_000;
  private static final int STRAGGLER_MS = 3_000;

  /** Mean of the task times that {@link #taskMs} draws, found by drawing. */
  private static final double MEAN_TASK_MS = meanTaskMs();

  /** Tasks of an average arrival: 60 % and 25 % with one task, 15 % with five. */
  private static final double MEAN_TASKS = 0.85 + 0.15 * JOB_TASKS;

  private ArrivalPlan() {}

  /**
   * Plans a load.
   *
   * @param utilization the share of all slots that the tasks take up on average
   * @param burstFactor how much denser arrivals are in the middle fifth of the time
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

  private static Arrival arrival(int number, double atSeconds, Random random) {
    int percentile = random.nextInt(100);
    Arrival.Kind kind =
        percentile < 60
            ? Arrival.Kind.REPEATABLE
            : percentile < 85 ? Arrival.Kind.NON_REPEATABLE : Arrival.Kind.JOB;
    int tasks = kind == Arrival.Kind.JOB ? JOB_TASKS : 1;
    List<Integer> taskMs = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      taskMs.add(taskMs(random));
    }
    long sendAtNanos = (long) (atSeconds * TimeUnit.SECONDS.toNanos(1));
    return new Arrival(number, sendAtNanos, kind, taskMs);
  }

  /** Most tasks take 50 ms to a second, one in two hundred takes three seconds. */
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
