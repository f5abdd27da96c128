package io.hingehoist.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * A response as a caller received it.
 *
 * @param status the HTTP status, or -1 if the request failed without a response
 */
record Answered(String id, int server, int status, JsonNode body) {

  String outcome() {
    return body.path("outcome").asText();
  }

  /** Returns whether the submission was refused, and not run, because the entry had no lease. */
  boolean isRefusedForMissingLease() {
    String cause = body.path("cause").asText();
    return outcome().equals("refused") && List.of("NO_LEASE", "ENTRY_NOT_LIVE").contains(cause);
  }

  /** Returns whether the caller should submit again under the same id. */
  boolean shouldRetry() {
    return isRefusedForMissingLease() || outcome().equals("unknown");
  }

  boolean isFinal() {
    return outcome().equals("complete") || outcome().equals("failed");
  }
}
