package io.hingehoist.run;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/**
 * Prints the figures of {@link LoadSimulation} for some fleets, troubles and loads, to weigh
 * policies.
 */
final class LoadSimulationMain {
  private static final long LENGTH_MS = 8_000;
  private static final int HOSTS_OF_USUAL_LOAD = 11;

  private record Fleet(int owners, int hosts, int followedHosts) {}

  private record Named(String name, LoadSimulation.Trouble trouble) {}

  private static final List<Fleet> FLEETS =
      List.of(new Fleet(3, 11, 11), new Fleet(6, 44, 24), new Fleet(11, 65, 14));

  private static final List<Named> TROUBLES =
      List.of(
          new Named("none", LoadSimulation.Trouble.NONE),
          new Named("stalled", new LoadSimulation.Trouble(0.14, 0, 3_000, 7_000)),
          new Named("slow", new LoadSimulation.Trouble(0.16, 0.2, 3_000, 8_000)));

  private LoadSimulationMain() {}

  /**
   * Plays loads from well below the room to well above it; the first argument is how many seeds.
   */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 5;
    System.out.println(
        "owners hosts mix         trouble  load  earned  first second  third    held refused"
            + "  orders    rows   beats");
    for (Fleet fleet : FLEETS) {
      for (LoadSimulation.Mix mix : LoadSimulation.Mix.values()) {
        for (Named trouble : TROUBLES) {
          print(fleet, mix, trouble, seeds);
        }
      }
    }
  }

  private static void print(Fleet fleet, LoadSimulation.Mix mix, Named trouble, int seeds) {
    for (double factor : new double[] {0.8, 0.95, 1.2, 1.45, 1.8, 2.2}) {
      print(fleet, mix, trouble, factor, play(fleet, mix, trouble.trouble(), factor, seeds));
    }
  }

  private static List<LoadSimulation> play(
      Fleet fleet,
      LoadSimulation.Mix mix,
      LoadSimulation.Trouble trouble,
      double factor,
      int seeds) {
    double load = factor * fleet.hosts() / HOSTS_OF_USUAL_LOAD;
    return LongStream.rangeClosed(1, seeds)
        .parallel()
        .mapToObj(
            seed ->
                LoadSimulation.play(
                    seed,
                    mix,
                    fleet.owners(),
                    fleet.hosts(),
                    fleet.followedHosts(),
                    load,
                    LENGTH_MS,
                    trouble))
        .toList();
  }

  private static void print(
      Fleet fleet,
      LoadSimulation.Mix mix,
      Named trouble,
      double factor,
      List<LoadSimulation> loads) {
    System.out.printf(
        "%6d %5d %-11s %-7s %5.2f  %.4f  %.3f  %.3f  %.3f  %.4f %7.0f %7.0f %7.0f %7.0f%n",
        fleet.owners(),
        fleet.hosts(),
        mix,
        trouble.name(),
        factor,
        mean(loads, LoadSimulation::earnedShare),
        mean(loads, load -> load.earnedShareOf(0)),
        mean(loads, load -> load.earnedShareOf(1)),
        mean(loads, load -> load.earnedShareOf(2)),
        mean(loads, LoadSimulation::heldShare),
        mean(loads, LoadSimulation::refusals),
        mean(loads, LoadSimulation::orders),
        mean(loads, LoadSimulation::rowsShown),
        mean(loads, LoadSimulation::beats));
  }

  private static double mean(List<LoadSimulation> loads, ToDoubleFunction<LoadSimulation> figure) {
    return loads.stream().mapToDouble(figure).average().orElse(0);
  }
}
