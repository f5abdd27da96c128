package io.hingehoist.cluster;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Static helpers that build the command line of a daemon, with this process's class path. */
final class Launch {
  /** The flags of bin/hingehoistd for an agent; the reasons are in docs/CAPACITY.md. */
  private static final List<String> AGENT_FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-Xms8m",
          "-Xmx16m",
          "-Xss256k",
          "-XX:TieredStopAtLevel=1",
          "-XX:ReservedCodeCacheSize=8m",
          "-XX:CICompilerCount=1",
          "-XX:-UsePerfData",
          "-XX:+UnlockDiagnosticVMOptions",
          "-XX:ArchiveRelocationMode=0");

  private Launch() {}

  static List<String> agentFlags() {
    return AGENT_FLAGS;
  }

  static List<String> command(List<String> flags, String action, Path settingsFile) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add("io.hingehoist.daemon.Main");
    command.add(action);
    command.add(settingsFile.toString());
    return command;
  }
}
