package io.hingehoist.run;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/** Prints how callers fare in bursts, by fleet, to weigh decisions under load. */
final class BurstSimulationMain {
  private record Fleet(int owners, int hosts, int followedHosts) {}

  private record Named(
      String name, double load, LoadSimulation.Burst burst, LoadSimulation.Trouble trouble) {
    private Named(String name, double load, LoadSimulation.Burst burst) {
      this(name, load, burst, LoadSimulation.Trouble.NONE);
    }
  }

  private static final List<Fleet> FLEETS = List.of(new Fleet(4, 17, 14), new Fleet(11, 63, 14));

  private static final List<Named> BURSTS =
      List.of(
          new Named("none", 1.0, LoadSimulation.Burst.NONE),
          new Named("none", 1.2, LoadSimulation.Burst.NONE),
          new Named("none", 1.35, LoadSimulation.Burst.NONE),
          new Named("all x1.7", 1.0, new LoadSimulation.Burst(-1, 1.7, 3_000, 6_000)),
          new Named("long x2.1", 1.15, new LoadSimulation.Burst(2, 2.1, 3_000, 7_000)),
          new Named("middle x1.8", 1.15, new LoadSimulation.Burst(1, 1.8, 3_000, 7_000)),
          new Named("short x1.6", 1.15, new LoadSimulation.Burst(0, 1.6, 3_000, 7_000)),
          new Named(
              "long, hung",
              1.1,
              new LoadSimulation.Burst(2, 2.1, 2_800, 8_600),
              new LoadSimulation.Trouble(0.23, 0, 2_000, 7_400)),
          new Named(
              "all, hung",
              1.0,
              new LoadSimulation.Burst(-1, 1.7, 2_800, 5_800),
              new LoadSimulation.Trouble(0.14, 0, 2_000, 7_400)));

  private BurstSimulationMain() {}

  /** Plays bursts; the first argument is how many seeds. */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 4;
    System.out.println(
        "owners hosts burst        load  earned  first second  third   late unserved withRoom  held"
            + " refusedStarts unserved of each");
    for (Fleet fleet : FLEETS) {
      for (Named burst : BURSTS) {
        print(fleet, burst, seeds);
      }
    }
  }

  private static void print(Fleet fleet, Named named, int seeds) {
    List<LoadSimulation> loads =
        LongStream.rangeClosed(1, seeds)
            .parallel()
            .mapToObj(
                seed ->
                    LoadSimulation.playBurst(
                        seed,
                        fleet.owners(),
                        fleet.hosts(),
                        fleet.followedHosts(),
                        named.load(),
                        named.burst(),
                        named.trouble()))
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
        mean(loads, load -> share(load, load.served().late())),
        mean(loads, load -> load.served().unservedShare()),
        mean(loads, load -> share(load, load.served().unservedWithRoom())),
        mean(loads, LoadSimulation::heldShare),
        mean(loads, LoadSimulation::refusals),
        mean(loads, load -> load.servedOf(0).unservedShare()),
        mean(loads, load -> load.servedOf(1).unservedShare()),
        mean(loads, load -> load.servedOf(2).unservedShare()));
  }

  private static double share(LoadSimulation load, int callers) {
    LoadSimulation.Served served = load.served();
    return (double) callers / (served.inTime() + served.late() + served.unserved());
  }

  private static double mean(List<LoadSimulation> loads, ToDoubleFunction<LoadSimulation> figure) {
    return loads.stream().mapToDouble(figure).average().orElse(0);
  }
}
