package io.hingehoist.run;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/** Prints the outcomes of callers in bursts, by fleet, to compare policies under load. */
final class BurstSimulationMain {
  private record Fleet(int owners, int hosts, int followedHosts) {}

  private record NamedBurst(
      String name, double load, LoadSimulation.Burst burst, LoadSimulation.WorkerFault fault) {
    private NamedBurst(String name, double load, LoadSimulation.Burst burst) {
      this(name, load, burst, LoadSimulation.WorkerFault.NONE);
    }
  }

  private static final List<Fleet> FLEETS = List.of(new Fleet(4, 17, 14), new Fleet(11, 63, 14));

  private static final List<NamedBurst> BURSTS =
      List.of(
          new NamedBurst("none", 1.0, LoadSimulation.Burst.NONE),
          new NamedBurst("none", 1.2, LoadSimulation.Burst.NONE),
          new NamedBurst("none", 1.35, LoadSimulation.Burst.NONE),
          new NamedBurst("all x1.7", 1.0, new LoadSimulation.Burst(-1, 1.7, 3_000, 6_000)),
          new NamedBurst("long x2.1", 1.15, new LoadSimulation.Burst(2, 2.1, 3_000, 7_000)),
          new NamedBurst("middle x1.8", 1.15, new LoadSimulation.Burst(1, 1.8, 3_000, 7_000)),
          new NamedBurst("short x1.6", 1.15, new LoadSimulation.Burst(0, 1.6, 3_000, 7_000)),
          new NamedBurst(
              "long, hung",
              1.1,
              new LoadSimulation.Burst(2, 2.1, 2_800, 8_600),
              new LoadSimulation.WorkerFault(0.23, 0, 2_000, 7_400)),
          new NamedBurst(
              "all, hung",
              1.0,
              new LoadSimulation.Burst(-1, 1.7, 2_800, 5_800),
              new LoadSimulation.WorkerFault(0.14, 0, 2_000, 7_400)));

  private BurstSimulationMain() {}

  /** Simulates bursts; the first argument is the number of seeds. */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 4;
    System.out.println(
        "owners hosts burst        load  earned  first second  third   late unserved withRoom  cost"
            + " refusedStarts unserved of each");
    for (Fleet fleet : FLEETS) {
      for (NamedBurst burst : BURSTS) {
        print(fleet, burst, seeds);
      }
    }
  }

  private static void print(Fleet fleet, NamedBurst named, int seeds) {
    List<LoadSimulation> loads =
        LongStream.rangeClosed(1, seeds)
            .parallel()
            .mapToObj(
                seed ->
                    LoadSimulation.runBurst(
                        seed,
                        fleet.owners(),
                        fleet.hosts(),
                        fleet.followedHosts(),
                        named.load(),
                        named.burst(),
                        named.fault()))
            .toList();
    System.out.printf(
        "%6d %5d %-12s %.2f  %.4f  %.3f  %.3f  %.3f  %.4f  %.4f  %.4f  %.4f %6.0f  %.3f %.3f %.3f%n",
        fleet.owners(),
        fleet.hosts(),
        named.name(),
        named.load(),
        mean(loads, LoadSimulation::earnedShare),
        mean(loads, load -> load.earnedShareOf(0)),
        mean(loads, load -> load.earnedShareOf(1)),
        mean(loads, load -> load.earnedShareOf(2)),
        mean(loads, load -> share(load, load.outcomes().late())),
        mean(loads, load -> load.outcomes().unservedShare()),
        mean(loads, load -> share(load, load.outcomes().unservedWithRoom())),
        mean(loads, LoadSimulation::refusalCostShare),
        mean(loads, LoadSimulation::refusedStarts),
        mean(loads, load -> load.outcomesOf(0).unservedShare()),
        mean(loads, load -> load.outcomesOf(1).unservedShare()),
        mean(loads, load -> load.outcomesOf(2).unservedShare()));
  }

  private static double share(LoadSimulation load, int callers) {
    LoadSimulation.CallerOutcomes outcomes = load.outcomes();
    return (double) callers / (outcomes.inTime() + outcomes.late() + outcomes.unserved());
  }

  private static double mean(List<LoadSimulation> loads, ToDoubleFunction<LoadSimulation> figure) {
    return loads.stream().mapToDouble(figure).average().orElse(0);
  }
}
