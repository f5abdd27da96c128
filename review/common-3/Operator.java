import java.io.IOException;
import java.net.URI;

/** The operator: puts a configuration until it is taken, and follows 307 twice. */
final class Operator {
  private final Log record;
  private final Deployment deployment;

  Operator(Log record, Deployment deployment) {
    this.record = record;
    this.deployment = deployment;
  }

  static String configuration(long version, String moreRoutes) {
    return """
        {"version":%d,"routes":[{"name":"r-1","host":"%s","prefix":"%s","kind":"unsafe",\
        "timeout-ms":1500,"slo-ms":60,"priority":0,"service":"%s","attempts":3,"stretch":1.6}%s],\
        "services":[{"name":"%s","health-path":"/health","max-conns":64,"protocol":"h1","tls":false,\
        "constraints":false,"headroom":false}],"limits":{"max-header-bytes":16384,\
        "max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"""
        .formatted(
            version,
            Client.HOST,
            Client.PREFIX,
            Deployment.SERVICE,
            moreRoutes,
            Deployment.SERVICE);
  }

  /** Calls a node, and follows up to two redirects. */
  Http.Answer call(Deployment.Machine node, String method, String path, String body, long timeout) {
    String ip = node.ip;
    Http.Answer answer = null;
    for (int hop = 0; hop < 3; hop++) {
      String host = ip + ":" + Deployment.CONTROL_PORT;
      answer = Http.call(ip, Deployment.CONTROL_PORT, method, path, host, body, timeout);
      if (answer.status() != 307) {
        return answer;
      }
      ip = URI.create(answer.headers().get("location")).getHost();
    }
    return answer;
  }

  /** Puts a configuration until it is acknowledged. */
  void put(long version, String moreRoutes, long withinMs) throws IOException {
    String body = configuration(version, moreRoutes);
    long endMs = record.nowMs() + withinMs;
    int i = 0;
    while (record.nowMs() < endMs) {
      var controls = deployment.of("control");
      Deployment.Machine node = controls.get(i++ % controls.size());
      Http.Answer answer = call(node, "POST", "/Config.Put", body, 1_000);
      if (answer.status() == 200) {
        record.line("operator", "version " + version + " is acknowledged by " + node.name);
        return;
      }
      try {
        Thread.sleep(200);
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
    throw new IOException("version " + version + " has no acknowledgement");
  }
}
