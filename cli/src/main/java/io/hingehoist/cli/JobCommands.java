package io.hingehoist.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

/** The commands under {@code hingehoist job}. */
final class JobCommands {
  private static final int PROGRESS_WAIT_MS = 1_000;
  private static final int STATUS_RUNNING = 202;

  private JobCommands() {}

  /** Polls a job until it ends, and shows its progress. */
  private static ExitCode follow(
      EntryClient client, Output output, String caller, String submissionId) throws IOException {
    String path = "/v1/jobs/" + caller + "/" + submissionId + "?waitMs=" + PROGRESS_WAIT_MS;
    EntryClient.Response response = client.get(path);
    while (response.status() == STATUS_RUNNING) {
      JsonNode body = response.body();
      output.writeProgress(
          "running: %s of %d tasks finished"
              .formatted(
                  body.has("finishedTasks") ? body.get("finishedTasks").asText() : "?",
                  body.path("taskCount").asInt()));
      response = client.get(path);
    }
    return write(response, output);
  }

  private static ExitCode write(EntryClient.Response response, Output output) {
    JsonNode body = response.body();
    StringBuilder text = new StringBuilder();
    text.append(body.path("outcome").asText()).append(System.lineSeparator());
    for (String field : List.of("cause", "reason", "retryAfterMs", "finishedTasks", "taskCount")) {
      if (body.has(field)) {
        text.append("%s: %s%n".formatted(field, body.get(field).asText()));
      }
    }
    for (JsonNode result : body.path("results")) {
      text.append(result.asText()).append(System.lineSeparator());
    }
    output.write(body, text);
    return Output.exitCodeOf(response);
  }

  @Parameters(commandDescription = "Submits a job, one task a line of a file, and follows it")
  static final class Submit implements Command {
    @Parameter(names = "--service", required = true, description = "Service that runs the tasks")
    private String service;

    @Parameter(names = "--class", description = "Job class")
    private String jobClass = "default";

    @Parameter(names = "--team", description = "Team whose share is used")
    private String team = "default";

    @Parameter(names = "--caller", description = "Who submits")
    private String caller = System.getProperty("user.name");

    @Parameter(
        names = "--id",
        description = "Id of the submission; resubmit under the same id. Random if missing")
    private String submissionId = UUID.randomUUID().toString();

    @Parameter(
        names = "--submitted-at-ms",
        description = "When it was first submitted; the same in a resubmission. Now if missing")
    private long submittedAtMs = System.currentTimeMillis();

    @Parameter(names = "--deadline-ms", description = "Time from now after which it is given up")
    private Long deadlineMs;

    @Parameter(names = "--tasks", required = true, description = "File with one payload a line")
    private String tasks;

    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      ObjectNode body = EntryClient.newObject();
      body.put("caller", caller);
      body.put("submissionId", submissionId);
      body.put("submittedAtMs", submittedAtMs);
      body.put("service", service);
      body.put("jobClass", jobClass);
      body.put("team", team);
      if (deadlineMs != null) {
        body.put("deadlineAtMs", System.currentTimeMillis() + deadlineMs);
      }
      ArrayNode list = body.putArray("tasks");
      for (String line : Files.readAllLines(Path.of(tasks))) {
        list.addObject().put("payload", line);
      }
      output.writeProgress(
          "submission %s of %s, submitted at %d".formatted(submissionId, caller, submittedAtMs));
      EntryClient.Response response = client.post("/v1/jobs?wait=false", body);
      return response.status() == STATUS_RUNNING
          ? follow(client, output, caller, submissionId)
          : write(response, output);
    }
  }

  @Parameters(commandDescription = "Shows what is known of a submission")
  static final class Status implements Command {
    @Parameter(names = "--caller", description = "Who submitted")
    private String caller = System.getProperty("user.name");

    @Parameter(names = "--id", required = true, description = "Id of the submission")
    private String submissionId;

    @Parameter(names = "--follow", description = "Wait for the end and show progress")
    private boolean follow;

    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      return follow
          ? follow(client, output, caller, submissionId)
          : write(client.get("/v1/jobs/" + caller + "/" + submissionId), output);
    }
  }
}
