package io.hingehoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;

/** Writes results as JSON for scripts or as text for operators. */
final class Output {
  private final PrintStream out;
  private final boolean json;

  Output(PrintStream out, boolean json) {
    this.out = out;
    this.json = json;
  }

  /** Writes a response as JSON, or the given text if JSON was not requested. */
  void write(JsonNode body, Object text) {
    if (json) {
      out.println(body);
    } else {
      out.print(text);
      out.flush();
    }
  }

  /** Writes a line about progress, unless JSON was requested. */
  void writeProgress(String line) {
    if (!json) {
      out.println(line);
    }
  }

  /** Writes the response to a change, and returns the exit code for it. */
  ExitCode writeChange(EntryClient.Response response) {
    JsonNode body = response.body();
    StringBuilder text =
        new StringBuilder(body.path("result").asText(body.path("outcome").asText()));
    if (body.has("revision")) {
      text.append(" revision ").append(body.get("revision").asLong());
    }
    if (body.has("reason")) {
      text.append(": ").append(body.get("reason").asText());
    }
    write(body, text.append(System.lineSeparator()));
    return exitCodeOf(response);
  }

  /** Returns the exit code for a response. */
  static ExitCode exitCodeOf(EntryClient.Response response) {
    if (response.isOk()) {
      return response.body().has("error") ? ExitCode.REFUSED : ExitCode.OK;
    }
    return response.status() == 504 ? ExitCode.UNAVAILABLE : ExitCode.REFUSED;
  }
}
