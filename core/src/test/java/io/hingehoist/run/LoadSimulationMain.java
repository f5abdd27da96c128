package io.hingehoist.run;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/* * Prints the results of {@link LoadSimulation} for several fleets, faults and loads, to compare
 * policies.
 */
final class LoadSimulationMain {
  private static final long LENGTH_MS = 8_000;
  private static final int BASELINE_HOSTS = 11;

  private record Fleet(int owners, int hosts, int followedHosts) {}

  private record NamedFault(String name, LoadSimulation.WorkerFault fault) {}

  private static final List<Fleet> FLEETS =
      List.of(new Fleet(3, 11, 11), new Fleet(6, 44, 24), new Fleet(11, 65, 14));

  private static final List<NamedFault> FAULTS =
      List.of(
          new NamedFault("none", LoadSimulation.WorkerFault.NONE),
          new NamedFault("stalled", new LoadSimulation.WorkerFault(0.14, 0, 3_000, 7_000)),
          new NamedFault("slow", new LoadSimulation.WorkerFault(0.16, 0.2, 3_000, 8_000)));

  private LoadSimulationMain() {}

  /**
   * Simulates loads from well below to well above capacity; the first argument is the number of
   * seeds.
   */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 5;
    System.out.println(
        "owners hosts mix         fault    load  earned  first second  third    cost refused"
            + "  orders    rows heartbeats");
    for (Fleet fleet : FLEETS) {
      for (LoadSimulation.Mix mix : LoadSimulation.Mix.values()) {
        for (NamedFault fault : FAULTS) {
          print(fleet, mix, fault, seeds);
        }
      }
    }
  }

  private static void print(Fleet fleet, LoadSimulation.Mix mix, NamedFault fault, int seeds) {
    for (double factor : new double[] {0.8, 0.95, 1.2, 1.45, 1.8, 2.2}) {
      print(fleet, mix, fault, factor, run(fleet, mix, fault.fault(), factor, seeds));
    }
  }

  private static List<LoadSimulation> run(
      Fleet fleet,
      LoadSimulation.Mix mix,
      LoadSimulation.WorkerFault fault,
      double factor,
      int seeds) {
    double load = factor * fleet.hosts() / BASELINE_HOSTS;
    return LongStream.rangeClosed(1, seeds)
        .parallel()
        .mapToObj(
            seed ->
                LoadSimulation.run(
                    seed,
                    mix,
                    fleet.owners(),
                    fleet.hosts(),
                    fleet.followedHosts(),
                    load,
                    LENGTH_MS,
                    fault))
        .toList();
  }

  private static void print(
      Fleet fleet,
      LoadSimulation.Mix mix,
      NamedFault fault,
      double factor,
      List<LoadSimulation> loads) {
    System.out.printf(
        "%6d %5d %-11s %-7s %5.2f  %.4f  %.3f  %.3f  %.3f  %.4f %7.0f %7.0f %7.0f %7.0f%n",
        fleet.owners(),
        fleet.hosts(),
        mix,
        fault.name(),
        factor,
        mean(loads, LoadSimulation::earnedShare),
        mean(loads, load -> load.earnedShareOf(0)),
        mean(loads, load -> load.earnedShareOf(1)),
        mean(loads, load -> load.earnedShareOf(2)),
        mean(loads, LoadSimulation::refusalCostShare),
        mean(loads, LoadSimulation::refusedStarts),
        mean(loads, LoadSimulation::orders),
        mean(loads, LoadSimulation::rowUpdates),
        mean(loads, LoadSimulation::heartbeats));
  }

  private static double mean(List<LoadSimulation> loads, ToDoubleFunction<LoadSimulation> figure) {
    return loads.stream().mapToDouble(figure).average().orElse(0);
  }
}
