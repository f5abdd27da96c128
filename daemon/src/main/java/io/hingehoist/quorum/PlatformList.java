package io.hingehoist.quorum;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * Reads the platform's list of live and leaving boxes from a file or an HTTP URL. As the list may
 * be out of date, it is only one of several sources: it can drain an agent and undo its own drain,
 * but nothing else. Not thread-safe: confined to one reader thread.
 *
 * <p>The list is JSON: {@code {"boxes": [{"agentId": "w1", "state": "live"}]}}, where the state is
 * {@code live} or {@code leaving}.
 */
final class PlatformList {
  private static final Logger LOG = Logger.getLogger(PlatformList.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final String LEAVING = "leaving";

  /** A box in the list. */
  record Box(String agentId, String state) {
    boolean isLeaving() {
      return LEAVING.equals(state);
    }
  }

  /** The complete list. */
  record Boxes(List<Box> boxes) {}

  private final String source;
  private final ObjectMapper json =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
  private final HttpClient http = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private boolean failed;

  PlatformList(String source) {
    this.source = source;
  }

  /** Reads the list and passes it to a receiver, which is not called if reading fails. */
  void read(Consumer<Boxes> receiver) {
    try {
      Boxes boxes = json.readValue(readText(), Boxes.class);
      if (boxes.boxes() != null) {
        receiver.accept(boxes);
      }
      failed = false;
    } catch (IOException | IllegalArgumentException e) {
      logFirstFailure(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void logFirstFailure(Exception e) {
    if (!failed) {
      LOG.warnf("event=platformListUnreadable source=%s reason=\"%s\"", source, e.getMessage());
    }
    failed = true;
  }

  private String readText() throws IOException, InterruptedException {
    if (!source.startsWith("http://")) {
      return Files.readString(Path.of(source));
    }
    HttpRequest request = HttpRequest.newBuilder(URI.create(source)).timeout(TIMEOUT).build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }
}
