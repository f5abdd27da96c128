package io.hingehoist.cli;

import com.beust.jcommander.Parameter;
import java.io.IOException;

/** Base class of the commands that make a change in the name of an operator. */
abstract class OperatorCommand {
  @Parameter(names = "--operator", description = "Who makes the change")
  private String operator = System.getProperty("user.name");

  final String operator() {
    return operator;
  }

  /** Posts a change that is fully described by the path. */
  final ExitCode postChange(EntryClient client, Output output, String path) throws IOException {
    return output.writeChange(client.post(path, EntryClient.newObject().put("operator", operator)));
  }
}
