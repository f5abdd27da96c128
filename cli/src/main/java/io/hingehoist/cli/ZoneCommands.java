package io.hingehoist.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** The commands for availability zones. */
final class ZoneCommands {
  private ZoneCommands() {}

  @Parameters(commandDescription = "Shows availability zones and whether they are evacuated")
  static final class ListZones implements Command {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      EntryClient.Response response = client.report("zones", "");
      output.write(
          response.body(), Table.of(response.body().path("zones"), "zone", "state", "agents"));
      return Output.exitCodeOf(response);
    }
  }

  private abstract static class ZoneChange extends OperatorCommand {
    @Parameter(names = "--zone", required = true, description = "Name of the availability zone")
    private String zone;

    ExitCode change(EntryClient client, Output output, String verb) throws IOException {
      String name = URLEncoder.encode(zone, StandardCharsets.UTF_8).replace("+", "%20");
      return postChange(client, output, "/v1/zones/" + name + "/" + verb);
    }
  }

  @Parameters(commandDescription = "Starts nothing more in an availability zone")
  static final class Evacuate extends ZoneChange implements Command {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      return change(client, output, "evacuate");
    }
  }

  @Parameters(commandDescription = "Lets an evacuated availability zone be used again")
  static final class Restore extends ZoneChange implements Command {
    @Override
    public ExitCode run(EntryClient client, Output output) throws IOException {
      return change(client, output, "restore");
    }
  }
}
