package io.hingehoist.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;

/** The commands for members. */
final class MemberCommands {
  private MemberCommands() {}

  @Parameters(commandDescription = "Shows entries and agents")
  static final class Members implements Command {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      EntryClient.Response response = client.report("members", "");
      output.write(
          response.body(),
          Table.of(
              response.body().path("members"),
              "role",
              "id",
              "state",
              "source",
              "zone",
              "address",
              "service",
              "slots"));
      return Output.exitCodeOf(response);
    }
  }

  private abstract static class StateChange extends OperatorCommand {
    @Parameter(names = "--agent", required = true, description = "Name of the agent")
    private String agent;

    ExitCode change(EntryClient client, Output output, String verb) throws IOException {
      return postChange(client, output, "/v1/members/" + agent + "/" + verb);
    }
  }

  @Parameters(commandDescription = "Lets an agent take no new work")
  static final class Drain extends StateChange implements Command {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      return change(client, output, "drain");
    }
  }

  @Parameters(commandDescription = "Lets a drained agent take work again")
  static final class Undrain extends StateChange implements Command {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      return change(client, output, "undrain");
    }
  }
}
