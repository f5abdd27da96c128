package io.hingehoist.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/** An HTTP client for entries that tries the next entry if one does not answer. */
final class EntryClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMinutes(11);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** The response of an entry. */
  record Response(int status, JsonNode body) {
    boolean isOk() {
      return status / 100 == 2;
    }
  }

  private final List<String> addresses;
  private final HttpClient http = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

  EntryClient(List<String> addresses) {
    this.addresses = List.copyOf(addresses);
  }

  static ObjectNode newObject() {
    return MAPPER.createObjectNode();
  }

  Response get(String path) throws IOException {
    return send(path, HttpRequest.newBuilder().GET());
  }

  Response report(String report, String argument) throws IOException {
    String encoded = URLEncoder.encode(argument, StandardCharsets.UTF_8);
    return get("/v1/reports/" + report + "?argument=" + encoded);
  }

  Response post(String path, JsonNode body) throws IOException {
    HttpRequest.BodyPublisher publisher = HttpRequest.BodyPublishers.ofString(body.toString());
    return send(
        path, HttpRequest.newBuilder().header("Content-Type", "application/json").POST(publisher));
  }

  /**
   * Sends a request to the first entry that answers. A repeated request has the same id, so sending
   * it twice is safe.
   */
  private Response send(String path, HttpRequest.Builder request) throws IOException {
    IOException lastFailure = new IOException("no entry is named");
    for (String address : addresses) {
      try {
        URI uri = URI.create("http://" + address + path);
        HttpResponse<String> response =
            http.send(
                request.uri(uri).timeout(RESPONSE_TIMEOUT).build(),
                HttpResponse.BodyHandlers.ofString());
        return new Response(response.statusCode(), parse(response.body()));
      } catch (IOException e) {
        lastFailure = new IOException(address + ": " + e, e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted", e);
      }
    }
    throw lastFailure;
  }

  private static JsonNode parse(String body) throws IOException {
    try {
      return MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      throw new IOException("the answer is not JSON: " + body, e);
    }
  }
}
