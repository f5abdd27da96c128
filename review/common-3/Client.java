import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of the jobs that need not be kept. After no response by the deadline, a broken
 * connection, 502 or 504 the same job is sent again 1,300 ms later, to the next node.
 */
final class Client {
  static final String HOST = "nony24.example";
  static final String PREFIX = "/lohu930/";
  static final long RETRANSMIT_MS = 1_300;
  static final long DEADLINE_MS = 1_500;

  /** What became of a job. */
  record Outcome(String id, Http.Answer last, int attempts, int broken, int rejected) {}

  private final Log record;
  private final List<Deployment.Machine> nodes;
  final AtomicInteger sent = new AtomicInteger();
  final AtomicInteger completed = new AtomicInteger();
  final AtomicInteger brokenOff = new AtomicInteger();
  final AtomicInteger unanswered = new AtomicInteger();
  final AtomicInteger rejected = new AtomicInteger();
  private final ConcurrentLinkedQueue<Thread> threads = new ConcurrentLinkedQueue<>();
  private static final Random RANDOM = new Random();

  Client(Log record, List<Deployment.Machine> nodes) {
    this.record = record;
    this.nodes = nodes;
  }

  static synchronized String newId() {
    return "%016x".formatted(RANDOM.nextLong());
  }

  /** Returns the body of a job with one step. */
  static String body(int count, long ms, long cpu) {
    return """
        {"spec":"ms=%d cpu=%d","best-effort":true,"steps":[{"count":%d,"cpu":%d,"mem-mb":64,\
        "estimate-ms":%d}]}"""
        .formatted(ms, cpu, count, cpu, ms);
  }

  /** Sends a job once. */
  Http.Answer post(Deployment.Machine node, String id, String body, long deadlineMs) {
    return Http.call(
        node.ip,
        Deployment.FRONT_PORT,
        "POST",
        PREFIX + id,
        HOST,
        body,
        deadlineMs,
        Map.of("X-Hingehoist-Deadline-Ms", String.valueOf(deadlineMs)));
  }

  /** Sends a job until it has an answer, at most a number of times. */
  Outcome submit(String id, String body, int firstNode, int maxAttempts, boolean logs) {
    int broken = 0;
    Http.Answer answer = null;
    for (int attempt = 1; attempt <= maxAttempts; attempt++) {
      Deployment.Machine node = nodes.get((firstNode + attempt - 1) % nodes.size());
      if (logs) {
        record.line("client", "sends job " + id + " to " + node.name + ", attempt " + attempt);
      }
      sent.incrementAndGet();
      answer = post(node, id, body, DEADLINE_MS);
      if (logs || answer.status() == -1) {
        record.line("client", "job " + id + " at " + node.name + ": " + answer.describe());
      }
      switch (answer.status()) {
        case 200 -> {
          completed.incrementAndGet();
          return new Outcome(id, answer, attempt, broken, 0);
        }
        case 404, 429, 503 -> {
          rejected.incrementAndGet();
          return new Outcome(id, answer, attempt, broken, 1);
        }
        case -1 -> {
          broken++;
          brokenOff.incrementAndGet();
        }
        default -> unanswered.incrementAndGet();
      }
      try {
        Thread.sleep(RETRANSMIT_MS);
      } catch (InterruptedException e) {
        break;
      }
    }
    return new Outcome(id, answer, maxAttempts, broken, 0);
  }

  /** Sends small jobs at a steady rate for some time, over all nodes. */
  Thread traffic(double perSecond, long forMs, int count, long ms, long cpu) {
    Thread thread =
        Thread.ofVirtual()
            .start(
                () -> {
                  long endMs = record.nowMs() + forMs;
                  for (int i = 0; record.nowMs() < endMs; i++) {
                    int first = i;
                    threads.add(
                        Thread.ofVirtual()
                            .start(() -> submit(newId(), body(count, ms, cpu), first, 1, false)));
                    try {
                      Thread.sleep((long) (1_000 / perSecond));
                    } catch (InterruptedException e) {
                      return;
                    }
                  }
                });
    threads.add(thread);
    return thread;
  }

  /** Waits for the answers to all jobs of the traffic. */
  void join() throws InterruptedException {
    for (Thread thread; (thread = threads.poll()) != null; ) {
      thread.join();
    }
  }
}
