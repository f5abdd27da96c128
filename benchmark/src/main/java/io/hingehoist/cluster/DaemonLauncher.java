package io.hingehoist.cluster;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Static helpers that start the daemon by its launcher script, as an operator does. */
public final class DaemonLauncher {
  private static final Path LAUNCHER = Path.of("bin", "hingehoistd");

  private DaemonLauncher() {}

  /**
   * Returns a builder for a daemon process.
   *
   * @param flags additional JVM flags, separated by spaces
   * @param command the command of the daemon, such as {@code run}
   */
  public static ProcessBuilder builder(String flags, String command, Path settingsFile) {
    ProcessBuilder builder =
        new ProcessBuilder(List.of(launcher(), command, settingsFile.toString()));
    builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
    builder.environment().put("HINGEHOISTD_FLAGS", flags);
    return builder;
  }

  /**
   * Returns the path of the launcher. Looks for it in the working folder and in the folders above,
   * because tests run in the folder of their module.
   */
  private static String launcher() {
    Path folder = Path.of("").toAbsolutePath();
    while (folder != null && !Files.isExecutable(folder.resolve(LAUNCHER))) {
      folder = folder.getParent();
    }
    if (folder == null) {
      throw new IllegalStateException(
          "can't find " + LAUNCHER + " in the working folder or in any folder above it");
    }
    return folder.resolve(LAUNCHER).toString();
  }
}
