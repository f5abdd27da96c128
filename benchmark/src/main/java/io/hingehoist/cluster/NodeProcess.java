package io.hingehoist.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon process of a local cluster. Not thread-safe. */
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

  /** Returns a new daemon process, which is not started. */
  public static NodeProcess create(String name, Path folder, ProcessBuilder builder) {
    return new NodeProcess(name, folder, builder);
  }

  /** Returns the name of the process. */
  public String name() {
    return name;
  }

  /** Starts the process, also after it has exited. */
  public void start() throws IOException {
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
    process = builder.start();
  }

  /** Returns whether the process is running. */
  public boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Kills the process with SIGKILL and waits until it has exited. */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Kills the process as {@link #kill} does if it is running; otherwise does nothing. */
  public void killIfRunning() {
    if (isRunning()) {
      kill();
    }
  }

  /** Sends SIGTERM to the process. */
  public void terminate() {
    process.destroy();
  }

  /** Suspends the process with SIGSTOP. */
  public void freeze() throws IOException {
    signal("-STOP");
  }

  /** Resumes a suspended process with SIGCONT. */
  public void thaw() throws IOException {
    signal("-CONT");
  }

  private void signal(String signal) throws IOException {
    Process kill = new ProcessBuilder("kill", signal, String.valueOf(process.pid())).start();
    waitForExit(kill);
  }

  /** Waits until the process has exited and returns its exit code. */
  public int awaitExit() {
    return waitForExit(process);
  }

  private static int waitForExit(Process process) {
    try {
      if (!process.waitFor(90, TimeUnit.SECONDS)) {
        throw new IllegalStateException("process " + process.pid() + " did not exit within 90 s");
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  /** Deletes the data folder of a process that has exited, to simulate the loss of its disk. */
  public void deleteData() throws IOException {
    if (isRunning()) {
      throw new IllegalStateException(name + " is running; its data folder can't be deleted");
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

  /** Returns the standard output and standard error that have been written to the log so far. */
  public String output() throws IOException {
    return Files.exists(output) ? Files.readString(output) : "";
  }
}
