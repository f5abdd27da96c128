package io.hingehoist.run;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/**
 * Prints the figures of {@link PlayedLoad} for some fleets, troubles and loads, to weigh policies.
 */
final class PlayedLoadMain {
  private static final long LENGTH_MS = 8_000;
  private static final int HOSTS_OF_USUAL_LOAD = 11;

  private record Fleet(int owners, int hosts, int followedHosts) {}

  private record Named(String name, PlayedLoad.Trouble trouble) {}

  private static final List<Fleet> FLEETS =
      List.of(new Fleet(3, 11, 11), new Fleet(6, 44, 24), new Fleet(11, 65, 14));

  private static final List<Named> TROUBLES =
      List.of(
          new Named("none", PlayedLoad.Trouble.NONE),
          new Named("stalled", new PlayedLoad.Trouble(0.14, 0, 3_000, 7_000)),
          new Named("slow", new PlayedLoad.Trouble(0.16, 0.2, 3_000, 8_000)));

  private PlayedLoadMain() {}

  /**
   * Plays loads from well below the room to well above it; the first argument is how many seeds.
   */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 5;
    System.out.println(
        "owners hosts mix         trouble  load  earned  first second  third    held refused"
            + "  orders    rows   beats");
    for (Fleet fleet : FLEETS) {
      for (PlayedLoad.Mix mix : PlayedLoad.Mix.values()) {
        for (Named trouble : TROUBLES) {
          print(fleet, mix, trouble, seeds);
        }
      }
    }
  }

  private static void print(Fleet fleet, PlayedLoad.Mix mix, Named trouble, int seeds) {
    for (double factor : new double[] {0.8, 0.95, 1.2, 1.45, 1.8, 2.2}) {
      print(fleet, mix, trouble, factor, play(fleet, mix, trouble.trouble(), factor, seeds));
    }
  }

  private static List<PlayedLoad> play(
      Fleet fleet, PlayedLoad.Mix mix, PlayedLoad.Trouble trouble, double factor, int seeds) {
    double load = factor * fleet.hosts() / HOSTS_OF_USUAL_LOAD;
    return LongStream.rangeClosed(1, seeds)
        .parallel()
        .mapToObj(
            seed ->
                PlayedLoad.play(
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
      Fleet fleet, PlayedLoad.Mix mix, Named trouble, double factor, List<PlayedLoad> loads) {
    System.out.printf(
        "%6d %5d %-11s %-7s %5.2f  %.4f  %.3f  %.3f  %.3f  %.4f %7.0f %7.0f %7.0f %7.0f%n",
        fleet.owners(),
        fleet.hosts(),
        mix,
        trouble.name(),
        factor,
        mean(loads, PlayedLoad::earnedShare),
        mean(loads, load -> load.earnedShareOf(0)),
        mean(loads, load -> load.earnedShareOf(1)),
        mean(loads, load -> load.earnedShareOf(2)),
        mean(loads, PlayedLoad::heldShare),
        mean(loads, PlayedLoad::refusals),
        mean(loads, PlayedLoad::orders),
        mean(loads, PlayedLoad::rowsShown),
        mean(loads, PlayedLoad::beats));
  }

  private static double mean(List<PlayedLoad> loads, ToDoubleFunction<PlayedLoad> figure) {
    return loads.stream().mapToDouble(figure).average().orElse(0);
  }
}
