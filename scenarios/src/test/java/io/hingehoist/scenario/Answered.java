package io.hingehoist.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * An answer as a caller saw it.
 *
 * @param status the HTTP status; -1 where the connection broke without an answer
 */
record Answered(String id, int server, int status, JsonNode body) {

  String outcome() {
    return body.path("outcome").asText();
  }

  /** Returns whether nothing ran because the entry had no lease just then. */
  boolean isRefusedForMissingLease() {
    String cause = body.path("cause").asText();
    return outcome().equals("refused") && List.of("NO_LEASE", "ENTRY_NOT_LIVE").contains(cause);
  }

  /** Returns whether a caller is to come back under the same id. */
  boolean shouldRetry() {
    return isRefusedForMissingLease() || outcome().equals("unknown");
  }

  boolean isFinal() {
    return outcome().equals("complete") || outcome().equals("failed");
  }
}
