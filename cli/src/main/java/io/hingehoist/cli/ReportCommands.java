package io.hingehoist.cli;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Instant;

/** The commands that show reports. */
final class ReportCommands {
  private ReportCommands() {}

  static ExitCode writeAudit(EntryClient.Response response, Output output) {
    for (JsonNode row : response.body().path("rows")) {
      ((ObjectNode) row).put("at", Instant.ofEpochMilli(row.path("atMs").asLong()).toString());
    }
    output.write(
        response.body(),
        Table.of(
            response.body().path("rows"),
            "at",
            "actor",
            "action",
            "subject",
            "before",
            "after",
            "accepted",
            "revision",
            "reason"));
    return Output.exitCodeOf(response);
  }

  @Parameters(commandDescription = "Shows the audit trail of settings and members")
  static final class Audit implements Command {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      return writeAudit(client.report("audit", ""), output);
    }
  }

  @Parameters(commandDescription = "Shows the state of the control replicas")
  static final class Status implements Command {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      EntryClient.Response response = client.report("status", "");
      JsonNode body = response.body();
      StringBuilder text = new StringBuilder();
      body.properties().stream()
          .filter(field -> !field.getKey().equals("replicas"))
          .forEach(
              field ->
                  text.append("%-18s %s%n".formatted(field.getKey(), field.getValue().asText())));
      text.append(Table.of(body.path("replicas"), "replicaId", "address", "voter"));
      output.write(body, text);
      return Output.exitCodeOf(response);
    }
  }
}
