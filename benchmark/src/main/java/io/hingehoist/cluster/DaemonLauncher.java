package io.hingehoist.cluster;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Static helpers that start the daemon as an operator does, by its launcher. */
public final class DaemonLauncher {
  private static final Path LAUNCHER = Path.of("bin", "hingehoistd");

  private DaemonLauncher() {}

  /** Returns how an action of the daemon is started on a settings file. */
  public static ProcessBuilder builder(String flags, String action, Path settingsFile) {
    ProcessBuilder builder =
        new ProcessBuilder(List.of(launcher(), action, settingsFile.toString()));
    builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
    builder.environment().put("HINGEHOISTD_FLAGS", flags);
    return builder;
  }

  /** The launcher is looked for upwards: tests run in the folder of their module. */
  private static String launcher() {
    Path folder = Path.of("").toAbsolutePath();
    while (folder != null && !Files.isExecutable(folder.resolve(LAUNCHER))) {
      folder = folder.getParent();
    }
    if (folder == null) {
      throw new IllegalStateException("there is no " + LAUNCHER + " here or above");
    }
    return folder.resolve(LAUNCHER).toString();
  }
}
