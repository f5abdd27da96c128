package io.hingehoist.agent;

import io.hingehoist.message.TaskState;
import java.io.IOException;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.Timeout;

/**
 * Sends payloads to the backend server by HTTP POST. Requests are never retried, so each payload is
 * sent at most once. Thread-safe.
 */
final class BackendClient implements AutoCloseable {
  /** Header with the name of the task, for the log of the backend server. */
  static final String TASK_HEADER = "Hingehoist-Task";

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int MAX_RESULT_BYTES = 1024 * 1024;
  private static final int MAX_REASON_CHARACTERS = 200;

  private final String url;
  private final CloseableHttpClient http;

  private BackendClient(String url, CloseableHttpClient http) {
    this.url = url;
    this.http = http;
  }

  /** Creates a client that opens at most {@code connections} connections. */
  static BackendClient create(String url, int connections) {
    PoolingHttpClientConnectionManager pool = new PoolingHttpClientConnectionManager();
    pool.setMaxTotal(connections);
    pool.setDefaultMaxPerRoute(connections);
    pool.setDefaultConnectionConfig(
        ConnectionConfig.custom()
            .setConnectTimeout(Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS))
            .setValidateAfterInactivity(Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS))
            .build());
    CloseableHttpClient http =
        HttpClients.custom()
            .setConnectionManager(pool)
            .disableAutomaticRetries()
            .disableRedirectHandling()
            .disableCookieManagement()
            .disableAuthCaching()
            .disableContentCompression()
            .build();
    return new BackendClient(url, http);
  }

  /** Sends a payload and waits for the response. */
  BackendResult run(String taskName, String payload, long timeoutMs) {
    HttpPost post = new HttpPost(url);
    post.setHeader(TASK_HEADER, taskName);
    post.setEntity(new StringEntity(payload, ContentType.TEXT_PLAIN.withCharset("UTF-8")));
    post.setConfig(
        RequestConfig.custom()
            .setResponseTimeout(Timeout.ofMilliseconds(timeoutMs))
            .setConnectionRequestTimeout(Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS))
            .build());
    long startNanos = System.nanoTime();
    try {
      return http.execute(post, response -> toResult(response, startNanos));
    } catch (ConnectException e) {
      return new BackendResult.NotReached(String.valueOf(e.getMessage()));
    } catch (IOException e) {
      String reason = e.getClass().getSimpleName() + ": " + e.getMessage();
      return new BackendResult.Ended(TaskState.FAILED, truncate(reason), elapsedMicros(startNanos));
    }
  }

  private static BackendResult toResult(ClassicHttpResponse response, long startNanos)
      throws IOException {
    String body;
    try {
      body = EntityUtils.toString(response.getEntity(), MAX_RESULT_BYTES);
    } catch (org.apache.hc.core5.http.ParseException e) {
      throw new IOException("the answer has no readable content type", e);
    }
    boolean success = response.getCode() / 100 == 2;
    if (success) {
      return new BackendResult.Ended(TaskState.SUCCEEDED, body, elapsedMicros(startNanos));
    }
    String reason = "HTTP " + response.getCode() + ": " + body;
    return new BackendResult.Ended(TaskState.FAILED, truncate(reason), elapsedMicros(startNanos));
  }

  private static String truncate(String reason) {
    int end = Math.min(reason.length(), MAX_REASON_CHARACTERS);
    return reason.substring(0, end);
  }

  private static long elapsedMicros(long startNanos) {
    return Math.max(1, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
  }

  @Override
  public void close() throws IOException {
    http.close();
  }
}
