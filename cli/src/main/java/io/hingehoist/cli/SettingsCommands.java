package io.hingehoist.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.UUID;

/** The commands under {@code hingehoist settings}. */
final class SettingsCommands {
  private SettingsCommands() {}

  /** Parameters of a settings change. */
  private abstract static class Change extends OperatorCommand {
    @Parameter(names = "--path", required = true, description = "Node, such as /porting or /")
    private String path;

    @Parameter(names = "--key", required = true, description = "Name of the value")
    private String key;

    @Parameter(
        names = "--base",
        description = "Revision that the change is based on; the current one if missing")
    private Long baseRevision;

    @Parameter(
        names = "--change-id",
        description = "Id of the change; resend a change under the same id. Random if missing")
    private String changeId = UUID.randomUUID().toString();

    ExitCode change(EntryClient client, Output output, String value) throws IOException {
      ObjectNode body = EntryClient.newObject();
      body.put("changeId", changeId);
      body.put("baseRevision", baseRevision == null ? currentRevision(client) : baseRevision);
      body.put("path", path);
      body.put("key", key);
      body.put("operator", operator());
      if (value != null) {
        body.put("value", value);
      }
      return output.writeChange(client.post("/v1/settings", body));
    }

    private static long currentRevision(EntryClient client) throws IOException {
      return client.report("tree", "").body().path("revision").asLong();
    }
  }

  @Parameters(commandDescription = "Shows the values in force at a node, and where they come from")
  static final class Get implements Command {
    @Parameter(names = "--path", description = "Node, such as /porting/activation/zone-1")
    private String path = "/";

    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      EntryClient.Response response = client.report("settings", path);
      JsonNode body = response.body();
      String text =
          body.has("error")
              ? body.get("error").asText() + System.lineSeparator()
              : "revision %d%n%s"
                  .formatted(
                      body.path("revision").asLong(),
                      Table.of(body.path("values"), "key", "value", "source"));
      output.write(body, text);
      return Output.exitCodeOf(response);
    }
  }

  @Parameters(commandDescription = "Overrides a value at a node")
  static final class Set extends Change implements Command {
    @Parameter(names = "--value", required = true, description = "The new value")
    private String value;

    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      return change(client, output, value);
    }
  }

  @Parameters(commandDescription = "Makes a node inherit a value again")
  static final class Unset extends Change implements Command {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      return change(client, output, null);
    }
  }

  @Parameters(commandDescription = "Shows every overridden value")
  static final class Tree implements Command {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      EntryClient.Response response = client.report("tree", "");
      JsonNode body = response.body();
      output.write(
          body,
          "revision %d%n%s"
              .formatted(
                  body.path("revision").asLong(),
                  Table.of(body.path("overrides"), "path", "key", "value")));
      return Output.exitCodeOf(response);
    }
  }

  @Parameters(commandDescription = "Shows the changes of settings, accepted and refused")
  static final class History implements Command {
    @Parameter(names = "--path", description = "Only this node")
    private String path = "";

    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      return ReportCommands.writeAudit(client.report("history", path), output);
    }
  }
}
