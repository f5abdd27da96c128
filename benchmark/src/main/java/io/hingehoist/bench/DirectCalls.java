package io.hingehoist.bench;

import io.hingehoist.cluster.LocalCluster;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.HdrHistogram.Histogram;

/** The lower bound for any dispatcher: direct calls to a backend server, one at a time. */
final class DirectCalls {
  private static final int TASK_MS = 50;

  private DirectCalls() {}

  /** Returns the response-time gaps of a number of calls, in microseconds. */
  static Histogram measure(LocalCluster cluster, int calls) throws IOException {
    Histogram gapMicros = new Histogram(3);
    HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    URI uri = URI.create("http://" + cluster.backendAddress(1) + "/");
    for (int i = 0; i < calls; i++) {
      HttpRequest request =
          HttpRequest.newBuilder(uri)
              .POST(HttpRequest.BodyPublishers.ofString("ms=" + TASK_MS + " direct"))
              .build();
      long startNanos = System.nanoTime();
      try {
        http.send(request, HttpResponse.BodyHandlers.ofString());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted", e);
      }
      gapMicros.recordValue((System.nanoTime() - startNanos) / 1_000 - 1_000 * TASK_MS);
    }
    return gapMicros;
  }
}
