package io.hingehoist.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of a local cluster. Not thread-safe. */
public final class NodeProcess {
  private final String name;
  private final Path folder;
  private final ProcessBuilder builder;
  private final Path output;
  private Process process;

  private NodeProcess(String name, Path folder, ProcessBuilder builder) {
    this.name = name;
    this.folder = folder;
    this.builder = builder;
    this.output = folder.resolve("output.log");
  }

  /** Creates a process of the daemon that is not started yet. */
  public static NodeProcess create(String name, Path folder, ProcessBuilder builder) {
    return new NodeProcess(name, folder, builder);
  }

  /** Returns the name of the process. */
  public String name() {
    return name;
  }

  /** Starts the process, or starts it again after it has ended. */
  public void start() throws IOException {
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
    process = builder.start();
  }

  /** Returns whether the process runs. */
  public boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Returns the number of the process. */
  public long pid() {
    return process.pid();
  }

  /** Kills the process at once, and waits until it is gone. */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Kills the process as {@link #kill} does, unless it has ended or was never started. */
  public void killIfRunning() {
    if (isRunning()) {
      kill();
    }
  }

  /** Asks the process to stop. */
  public void terminate() {
    process.destroy();
  }

  /** Freezes the process. */
  public void freeze() throws IOException {
    signal("-STOP");
  }

  /** Lets a frozen process go on. */
  public void thaw() throws IOException {
    signal("-CONT");
  }

  private void signal(String signal) throws IOException {
    Process kill = new ProcessBuilder("kill", signal, String.valueOf(process.pid())).start();
    waitForExit(kill);
  }

  /** Waits until the process has ended and returns its exit code. */
  public int awaitExit() {
    return waitForExit(process);
  }

  private static int waitForExit(Process process) {
    try {
      if (!process.waitFor(90, TimeUnit.SECONDS)) {
        throw new IllegalStateException("process " + process.pid() + " does not end");
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  /** Removes the data folder of an ended process, as a lost disk would. */
  public void deleteData() throws IOException {
    if (isRunning()) {
      throw new IllegalStateException(name + " runs");
    }
    Path data = folder.resolve("data");
    List<Path> files = new ArrayList<>();
    try (var found = Files.walk(data)) {
      found.forEach(files::add);
    }
    for (Path file : files.reversed()) {
      Files.delete(file);
    }
  }

  /** Returns the data folder. */
  public Path dataFolder() {
    return folder.resolve("data");
  }

  /** Returns what the process wrote. */
  public String output() throws IOException {
    return Files.exists(output) ? Files.readString(output) : "";
  }
}
