package io.hingehoist.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * A backend server whose behaviour the payload determines: {@code ms=120 rest} takes 120 ms and
 * returns {@code done rest}; {@code fail rest} returns an error. It appends a line to its log
 * before it runs a task, so that starts can be counted independently of hingehoist. Thread-safe.
 */
public final class StandInBackend implements AutoCloseable {
  private final HttpServer server;
  private final FileChannel log;
  private final String name;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger maxConcurrentTasks = new AtomicInteger();
  private final Queue<String> answeredPayloads = new ConcurrentLinkedQueue<>();
  private volatile double slowdownFactor = 1;

  private StandInBackend(HttpServer server, FileChannel log, String name) {
    this.server = server;
    this.log = log;
    this.name = name;
  }

  /** Starts a backend server that appends its starts to a log file. */
  public static StandInBackend start(String name, String ip, int port, Path logFile)
      throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), port), 1_024);
    FileChannel log =
        FileChannel.open(logFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    StandInBackend backend = new StandInBackend(server, log, name);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", backend::serve);
    server.start();
    return backend;
  }

  /** Multiplies the duration of every task that starts from now on by a factor. */
  public void setSlowdownFactor(double factor) {
    slowdownFactor = factor;
  }

  /** Returns the number of responses that were sent for tasks of a job. */
  public long answeredCount(String job) {
    return answeredPayloads.stream().filter(payload -> payload.contains(" " + job + "/")).count();
  }

  /** Returns the largest number of tasks that ran concurrently. */
  public int maxConcurrentTasks() {
    return maxConcurrentTasks.get();
  }

  private void serve(HttpExchange exchange) throws IOException {
    String payload = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    int nowRunning = running.incrementAndGet();
    maxConcurrentTasks.accumulateAndGet(nowRunning, Math::max);
    String task = exchange.getRequestHeaders().getFirst("Hingehoist-Task");
    writeLog(task, payload);
    int status = payload.startsWith("fail") ? 500 : 200;
    LockSupport.parkNanos(
        TimeUnit.MILLISECONDS.toNanos((long) (slowdownFactor * millisOf(payload))));
    byte[] body = ("done " + restOf(payload)).getBytes(StandardCharsets.UTF_8);
    running.decrementAndGet();
    exchange.getResponseHeaders().set("Content-Type", "text/plain; charset=utf-8");
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
    answeredPayloads.add(payload);
  }

  private synchronized void writeLog(String task, String payload) throws IOException {
    String line = "%d\t%s\t%s\t%s%n".formatted(System.currentTimeMillis(), name, task, payload);
    ByteBuffer bytes = ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8));
    while (bytes.hasRemaining()) {
      log.write(bytes);
    }
  }

  private static long millisOf(String payload) {
    if (!payload.startsWith("ms=")) {
      return 0;
    }
    String durationField = payload.split(" ", 2)[0];
    return Long.parseLong(durationField.substring("ms=".length()));
  }

  private static String restOf(String payload) {
    String[] parts = payload.split(" ", 2);
    return parts.length == 2 ? parts[1] : "";
  }

  @Override
  public void close() throws IOException {
    server.stop(0);
    log.close();
  }
}
