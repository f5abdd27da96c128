import java.nio.file.Path;

/**
 * Some hundred changes of a configuration with many routes are acknowledged; then every process of
 * the core is killed at the same moment and started again.
 */
final class KillAll {
  private static final int CHANGES = 300;
  private static final int ROUTES = 700;
  private static final long RECOVER_MS = 12_000;

  private KillAll() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Record record = new Record(Path.of(args[0]).resolve("record.txt"))) {
      try (Fleet fleet = new Fleet(Path.of(args[1]), 5, 0, 0)) {
        exit = play(fleet, record, trouble);
      } catch (Exception e) {
        record.add("could not run: " + e);
      }
      record.add("exit " + exit);
    }
    System.exit(exit);
  }

  private static int play(Fleet fleet, Record record, boolean trouble) throws Exception {
    fleet.startAll();
    Operator operator = new Operator(fleet, record);
    for (int version = 1; version <= CHANGES; version++) {
      if (!operator.put(version, Operator.configuration(version, ROUTES), 20_000)) {
        record.add("version " + version + " was not acknowledged");
        return 2;
      }
    }
    for (Fleet.Node node : fleet.nodes("control")) {
      if (!node.isRunning()) {
        record.add(node.name + " ended before the disruption");
        return 2;
      }
    }
    if (trouble) {
      record.add("kill all processes of the core");
      for (Fleet.Node node : fleet.nodes("control")) {
        node.signal("KILL");
      }
      Thread.sleep(500);
      record.add("start them again");
      for (Fleet.Node node : fleet.nodes("control")) {
        node.start();
        fleet.supervise(node, record);
      }
      Thread.sleep(RECOVER_MS);
    }
    Web.Answer answer = operator.get(15_000);
    for (Fleet.Node node : fleet.nodes("control")) {
      record.add(node.name + " ended by itself " + fleet.ownEnds(node) + " times");
    }
    boolean held = answer.status() == 200 && answer.body().startsWith("{\"version\":" + CHANGES + ",");
    if (!held) {
      record.broken("CONFIG version " + CHANGES + " was acknowledged and is not read back");
    }
    return held ? 0 : 1;
  }
}
