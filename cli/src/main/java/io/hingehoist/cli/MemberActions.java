package io.hingehoist.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;

/** The commands about members. */
final class MemberActions {
  private MemberActions() {}

  @Parameters(commandDescription = "Shows entries and agents")
  static final class Members implements Action {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      EntryClient.Reply reply = client.report("members", "");
      output.write(
          reply.body(),
          Table.of(
              reply.body().path("members"),
              "role",
              "id",
              "state",
              "source",
              "zone",
              "address",
              "service",
              "slots"));
      return Output.codeOf(reply);
    }
  }

  private abstract static class StateChange extends OperatorChange {
    @Parameter(names = "--agent", required = true, description = "Name of the agent")
    private String agent;

    ExitCode change(EntryClient client, Output output, String verb) throws IOException {
      return order(client, output, "/v1/members/" + agent + "/" + verb);
    }
  }

  @Parameters(commandDescription = "Lets an agent take no new work")
  static final class Drain extends StateChange implements Action {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      return change(client, output, "drain");
    }
  }

  @Parameters(commandDescription = "Lets a drained agent take work again")
  static final class Undrain extends StateChange implements Action {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      return change(client, output, "undrain");
    }
  }
}
