package io.hingehoist.run;

/** Prints the figures of {@link PlayedLoad} for some loads, to weigh policies by. */
final class PlayedLoadMain {
  private PlayedLoadMain() {}

  /** Plays loads from well below the room to well above it. */
  public static void main(String[] args) {
    System.out.println("load  earned  first  second third  refused starts");
    for (double factor : new double[] {1.0, 1.3, 1.5, 1.6, 1.8, 2.2}) {
      double all = 0;
      double[] byPriority = new double[3];
      long refusals = 0;
      int seeds = 5;
      for (int seed = 1; seed <= seeds; seed++) {
        PlayedLoad load = PlayedLoad.play(seed, 3, 11, factor, 20_000);
        all += load.earnedShare() / seeds;
        refusals += load.refusals() / seeds;
        for (int i = 0; i < 3; i++) {
          byPriority[i] += load.earnedShareOf(i) / seeds;
        }
      }
      System.out.printf(
          "%4.2f  %.3f   %.3f  %.3f  %.3f  %d%n",
          factor, all, byPriority[0], byPriority[1], byPriority[2], refusals);
    }
  }
}
