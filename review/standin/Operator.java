import java.io.IOException;
import java.util.List;

/** The operator: sends configurations until they are acknowledged, and reads them back. */
final class Operator {
  static final String HOST = "desk.example";
  static final String PREFIX = "/jobs/";

  private final Fleet fleet;
  private final Record record;
  private int next;

  Operator(Fleet fleet, Record record) {
    this.fleet = fleet;
    this.record = record;
  }

  /** A configuration with one queue in use and a number of further routes. */
  static String configuration(long version, int furtherRoutes) {
    StringBuilder routes = new StringBuilder(route("r-jobs", HOST, PREFIX, 1500));
    for (int i = 0; i < furtherRoutes; i++) {
      String name = "r-%07x".formatted(0x1000000 + i * 7919);
      routes.append(',').append(route(name, "h" + i % 40 + ".example", "/p" + i + "/", 1500));
    }
    return "{\"version\":" + version + ",\"routes\":[" + routes
        + "],\"services\":[{\"name\":\"desk\",\"health-path\":\"/health\",\"max-conns\":64,"
        + "\"protocol\":\"h1\",\"tls\":false,\"constraints\":false,\"headroom\":false}],"
        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
  }

  private static String route(String name, String host, String prefix, int timeoutMs) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"prefix\":\"" + prefix
        + "\",\"kind\":\"unsafe\",\"timeout-ms\":" + timeoutMs
        + ",\"slo-ms\":60,\"priority\":0,\"service\":\"desk\",\"attempts\":2,\"stretch\":1.6}";
  }

  private interface Call {
    Web.Answer on(String ip, int port) throws IOException;
  }

  /** Calls one control machine after the other, and follows redirects, until one answers 200. */
  private Web.Answer callUntil(Call call, long forMs) throws InterruptedException {
    List<Fleet.Node> controls = fleet.nodes("control");
    long untilMs = record.ms() + forMs;
    Web.Answer last = new Web.Answer(0, "");
    long pauseMs = 50;
    while (record.ms() < untilMs) {
      try {
        last = call.on(controls.get(next % controls.size()).ip, Fleet.CONTROL);
        if (last.status() == 200 || last.status() == 400 || last.status() == 409) {
          return last;
        }
      } catch (IOException e) {
        last = new Web.Answer(0, String.valueOf(e.getMessage()));
      }
      next++;
      Thread.sleep(pauseMs);
      pauseMs = Math.min(1_000, pauseMs * 2);
    }
    return last;
  }

  boolean put(long version, String body, long forMs) throws InterruptedException {
    Web.Answer answer =
        callUntil((ip, port) -> Web.call(ip, port, "POST", "/Config.Put", ip + ":" + port, body, 2_500), forMs);
    record.add(
        "operator: Config.Put " + version + " (" + body.length() + " bytes) -> " + answer.status()
            + (answer.status() == 200 ? "" : " " + answer.body()));
    return answer.status() == 200;
  }

  Web.Answer get(long forMs) throws InterruptedException {
    Web.Answer answer =
        callUntil((ip, port) -> Web.call(ip, port, "GET", "/Config.Get", ip + ":" + port, "", 2_500), forMs);
    String shown = answer.body().substring(0, Math.min(40, answer.body().length()));
    record.add("operator: Config.Get -> " + answer.status() + " " + shown);
    return answer;
  }
}
