import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The same job arrives again, half a second after its 2xx, at the owner that answered it. It arrives
 * once more just after its second run has ended, while the owner is frozen for a fifth of a second;
 * and a last time, a second after everybody has an answer, at the other owner.
 */
final class RepeatedAtEnd {
  private static final int ROUNDS = 3;
  private static final int RUN_MS = 3_000;
  private static final long FREEZE_AT_MS = 2_950;
  private static final long REPEAT_AT_MS = 3_080;
  private static final long THAW_AT_MS = 3_130;

  private RepeatedAtEnd() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Record record = new Record(Path.of(args[0]).resolve("record.txt"))) {
      try (Fleet fleet = new Fleet(Path.of(args[1]), 3, 2, 3)) {
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
    Map<String, List<String>> board = Worker.newBoard();
    List<Worker> workers = new ArrayList<>();
    for (Fleet.Node host : fleet.nodes("host")) {
      workers.add(new Worker("i-" + host.name, host, record, board));
    }
    Operator operator = new Operator(fleet, record);
    if (!operator.put(1, Operator.configuration(1, 0), 20_000)) {
      return 2;
    }
    List<Fleet.Node> owners = fleet.nodes("owner");
    for (Fleet.Node owner : owners) {
      if (!awaitService(owner, record)) {
        return 2;
      }
      fleet.supervise(owner, record);
    }
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Fleet.Node owner = owners.get(i);
      Fleet.Node other = owners.get(1 - i);
      clients.add(Thread.ofPlatform().start(() -> rounds(fleet, owner, other, record, trouble)));
    }
    for (Thread client : clients) {
      client.join();
    }
    int twice = record.brokenCount();
    int machines = 0;
    for (Fleet.Node owner : owners) {
      record.add(
          owner.name + " ended by itself " + fleet.countedEnds(owner)
              + " times, more than a second after any disruption there");
      machines += fleet.countedEnds(owner) >= 3 ? 1 : 0;
    }
    workers.forEach(Worker::close);
    // A tenth of the machines in use, two at least: there are eight.
    if (machines >= 2) {
      record.broken("Fault: processes on " + machines + " machines ended by themselves three times");
    }
    record.add(twice + " times TWICE");
    return twice > 0 ? 1 : 0;
  }

  private static String job(int runMs) {
    return ("{\"spec\":\"ms=%d\",\"best-effort\":true,\"steps\":"
            + "[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":%d}]}")
        .formatted(runMs, runMs);
  }

  private static boolean awaitService(Fleet.Node owner, Record record) throws Exception {
    for (int i = 0; i < 100; i++) {
      try {
        String path = Operator.PREFIX + "%016x".formatted(record.ms() * 100 + owner.name.hashCode());
        Web.Answer answer =
            Web.call(owner.ip, Fleet.FRONT, "POST", path, Operator.HOST, job(20), 3_000);
        if (answer.status() == 200 && answer.body().contains("completed")) {
          return true;
        }
      } catch (IOException e) {
        // Not yet listening.
      }
      Thread.sleep(200);
    }
    record.add(owner.name + " does not serve");
    return false;
  }

  private static void rounds(
      Fleet fleet, Fleet.Node owner, Fleet.Node other, Record record, boolean trouble) {
    try {
      for (int round = 1; round <= ROUNDS; round++) {
        round(round, fleet, owner, other, record, trouble);
      }
    } catch (Exception e) {
      record.add("client of " + owner.name + ": " + e);
    }
  }

  private static void round(
      int round, Fleet fleet, Fleet.Node owner, Fleet.Node other, Record record, boolean trouble)
      throws Exception {
    if (!awaitService(owner, record)) {
      return;
    }
    int endsBefore = fleet.ownEnds(owner);
    String id = "%015x%d".formatted(0xabc0000L + owner.name.charAt(6), round);
    String path = Operator.PREFIX + id;
    try (Web a = new Web(owner.ip, Fleet.FRONT, 9_000);
        Web b = new Web(owner.ip, Fleet.FRONT, 9_000);
        Web c = new Web(owner.ip, Fleet.FRONT, 9_000)) {
      for (Web web : List.of(b, c)) {
        web.send("GET", Operator.PREFIX, Operator.HOST, "", "");
        web.read();
      }
      post(a, "a", path, owner, record);
      record.add("client on a: " + a.read());
      Thread.sleep(500);
      long startMs = record.ms();
      post(b, "b", path, owner, record);
      sleepUntil(record, startMs + FREEZE_AT_MS);
      if (trouble) {
        record.add("freeze " + owner.name);
        owner.signal("STOP");
      }
      sleepUntil(record, startMs + REPEAT_AT_MS);
      post(c, "c", path, owner, record);
      sleepUntil(record, startMs + THAW_AT_MS);
      long thawnMs = record.ms();
      if (trouble) {
        record.add("thaw " + owner.name);
        owner.signal("CONT");
        fleet.disturbed(owner, record);
      }
      boolean answered = read(b, "b", owner, record) & read(c, "c", owner, record);
      Thread.sleep(1_000);
      if (answered) {
        try (Web d = new Web(other.ip, Fleet.FRONT, 9_000)) {
          post(d, "d", path, other, record);
          read(d, "d", other, record);
        }
      }
      long untilMs = record.ms() + 1_500;
      while (record.ms() < untilMs && fleet.ownEnds(owner) == endsBefore) {
        Thread.sleep(20);
      }
      if (fleet.ownEnds(owner) > endsBefore) {
        record.add(owner.name + " ended " + (record.ms() - thawnMs) + " ms after it was thawn");
      }
    }
  }

  private static void post(Web web, String name, String path, Fleet.Node owner, Record record)
      throws IOException {
    record.add("client on " + name + ": POST " + path + " to " + owner.name);
    web.send("POST", path, Operator.HOST, "X-Hingehoist-Deadline-Ms: 9000\r\n", job(RUN_MS));
  }

  /** Reads an answer; returns whether it is a 2xx. */
  private static boolean read(Web web, String name, Fleet.Node owner, Record record) {
    try {
      Web.Answer answer = web.read();
      record.add("client of " + owner.name + " on " + name + ": " + answer);
      return answer.status() == 200;
    } catch (IOException e) {
      record.add("client of " + owner.name + " on " + name + ": " + e.getMessage());
      return false;
    }
  }

  private static void sleepUntil(Record record, long atMs) throws InterruptedException {
    Thread.sleep(Math.max(0, atMs - record.ms()));
  }
}
