package io.hingehoist.cli;

import com.beust.jcommander.Parameter;
import java.io.IOException;

/** What the commands share that change something in an operator's name. */
abstract class OperatorCommand {
  @Parameter(names = "--operator", description = "Who makes the change")
  private String operator = System.getProperty("user.name");

  final String operator() {
    return operator;
  }

  /** Orders a change that a path says in full. */
  final ExitCode postChange(EntryClient client, Output output, String path) throws IOException {
    return output.writeChange(client.post(path, EntryClient.newObject().put("operator", operator)));
  }
}
