package io.hingehoist.scenario;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An answer as a caller saw it.
 *
 * @param status the HTTP status; -1 where the connection broke without an answer
 */
record Answered(String id, int server, int status, JsonNode body) {

  String outcome() {
    return body.path("outcome").asText();
  }

  boolean isFinal() {
    return outcome().equals("complete") || outcome().equals("failed");
  }
}
