package io.hingehoist.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import java.util.stream.Collectors;

/** Maps errors in a request body to responses that name the field. Thread-safe. */
final class ErrorMappers {
  private ErrorMappers() {}

  private static Response badRequest(String reason) {
    return Response.status(Response.Status.BAD_REQUEST)
        .type(MediaType.APPLICATION_JSON)
        .entity(AnswerBody.refused("INVALID", reason, null))
        .build();
  }

  /** Maps a field with an invalid value to a response. */
  static final class InvalidField implements ExceptionMapper<InvalidFieldException> {
    @Override
    public Response toResponse(InvalidFieldException e) {
      return badRequest(e.getMessage());
    }
  }

  /** Maps a body that is not the expected JSON to a response. */
  static final class BadJson implements ExceptionMapper<JsonProcessingException> {
    @Override
    public Response toResponse(JsonProcessingException e) {
      if (e instanceof UnrecognizedPropertyException unknown) {
        String known =
            unknown.getKnownPropertyIds().stream()
                .map(String::valueOf)
                .sorted()
                .collect(Collectors.joining(", "));
        return badRequest(
            "%s: unknown field; allowed: %s".formatted(unknown.getPropertyName(), known));
      }
      if (e instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()) {
        String field =
            mapping.getPath().stream()
                .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : r.getFieldName())
                .collect(Collectors.joining("."));
        return badRequest(field + ": " + e.getOriginalMessage());
      }
      return badRequest("body: not JSON: " + e.getOriginalMessage());
    }
  }
}
