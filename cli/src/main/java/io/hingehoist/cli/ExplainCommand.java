package io.hingehoist.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Shows the timeline of a job, extracted from the logs of the processes. */
@Parameters(
    commandDescription =
        "Shows what logs say of a job, in order; reads standard input without --file")
final class ExplainCommand implements Command {
  @Parameter(description = "ID of the job", required = true)
  private String jobId;

  @Parameter(names = "--file", description = "Logs to read; may be given again")
  private List<String> files = new ArrayList<>();

  @Override
  public ExitCode run(EntryClient client, Output output) throws IOException {
    JobTimeline timeline = JobTimeline.of(jobId, readLines().stream());
    if (timeline.isEmpty()) {
      System.err.println("id: value \"" + jobId + "\" is in none of the lines");
      return ExitCode.REFUSED;
    }
    output.write(timeline.toJson(), timeline.toText());
    return ExitCode.OK;
  }

  private List<String> readLines() throws IOException {
    List<String> lines = new ArrayList<>();
    for (String file : files) {
      lines.addAll(Files.readAllLines(Path.of(file)));
    }
    if (files.isEmpty()) {
      new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
          .lines()
          .forEach(lines::add);
    }
    return lines;
  }
}
