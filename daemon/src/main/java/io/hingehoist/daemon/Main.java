package io.hingehoist.daemon;

import io.hingehoist.config.DaemonSettings;
import io.hingehoist.config.SettingsFile;
import io.hingehoist.config.SettingsResult;
import io.hingehoist.journal.DamageException;
import io.hingehoist.journal.Disk;
import io.hingehoist.journal.Identity;
import io.hingehoist.journal.Journal;
import io.hingehoist.metrics.Metrics;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

/** The entry point of {@code hingehoistd}. */
public final class Main {
  private static final String USAGE =
      """
      usage: hingehoistd run FILE      run the roles that a settings file names
             hingehoistd run-named VARIABLE  run the file that an environment variable names
             hingehoistd check FILE    check a settings file and do nothing else
             hingehoistd found FILE    make the data folder the first replica of a new cluster;
                                       once in the life of a cluster, on one box only
             hingehoistd archive FILE  load what an agent needs and end, so that the launcher
                                       can archive it: an agent then starts with less memory
             hingehoistd --help        show this

      exit codes: 0 done, 64 wrong command line, 65 damaged data folder, 70 broken invariant,
                  73 an address or folder can't be opened, 74 the disk failed,
                  75 a planned stop could not settle everything in time, 78 wrong settings file
      """;

  private Main() {}

  /** Runs the program. */
  public static void main(String[] args) {
    LogSetup.chooseBackend();
    ExitCode code = run(List.of(args));
    if (code != ExitCode.OK) {
      System.exit(code.code());
    }
  }

  private static ExitCode run(List<String> args) {
    if (args.equals(List.of("--help"))) {
      System.out.print(USAGE);
      return ExitCode.OK;
    }
    if (args.size() == 2 && args.getFirst().equals("run-named")) {
      return runNamed(args.getLast());
    }
    if (args.size() != 2
        || !List.of("run", "check", "found", "archive").contains(args.getFirst())) {
      System.err.print(USAGE);
      return ExitCode.USAGE;
    }
    return switch (SettingsFile.read(Path.of(args.getLast()))) {
      case SettingsResult.Invalid invalid -> {
        invalid.problems().forEach(System.err::println);
        yield ExitCode.BAD_SETTINGS;
      }
      case SettingsResult.Valid valid ->
          run(args.getFirst(), valid.settings(), Path.of(args.getLast()));
    };
  }

  private static ExitCode runNamed(String variable) {
    String file = System.getenv(variable);
    if (file == null || file.isBlank()) {
      System.err.println(
          variable + ": value \"\" is not allowed; allowed: a path of a settings file");
      return ExitCode.BAD_SETTINGS;
    }
    return run(List.of("run", file));
  }

  private static ExitCode run(String action, DaemonSettings settings, Path file) {
    return switch (action) {
      case "check" -> {
        System.out.println("the settings are sound");
        yield ExitCode.OK;
      }
      case "found" -> foundCluster(settings);
      case "archive" -> archive(settings);
      default -> start(settings, file);
    };
  }

  private static ExitCode foundCluster(DaemonSettings settings) {
    if (settings.control().isEmpty()) {
      System.err.println("node.roles: value has no control; allowed: a file with the control role");
      return ExitCode.BAD_SETTINGS;
    }
    try {
      Identity identity =
          Journal.found(
              Path.of(settings.node().dataFolder()),
              Disk.real(),
              UUID.randomUUID().toString(),
              settings.control().get().listenAddress(),
              System.currentTimeMillis());
      System.out.println("founded cluster " + identity.clusterId());
      return ExitCode.OK;
    } catch (IOException e) {
      System.err.println(e.getMessage());
      return ExitCode.CANNOT_OPEN;
    }
  }

  private static ExitCode archive(DaemonSettings settings) {
    if (settings.agent().isEmpty()) {
      System.err.println("node.roles: value has no agent; allowed: a file with the agent role");
      return ExitCode.BAD_SETTINGS;
    }
    try {
      AgentProcess.warmUp(settings);
      return ExitCode.OK;
    } catch (IOException e) {
      System.err.println("can't start: " + e);
      return ExitCode.CANNOT_OPEN;
    }
  }

  private static ExitCode start(DaemonSettings settings, Path file) {
    LogSetup.configure(settings.node());
    Metrics metrics = Metrics.create();
    try {
      if (!settings.node().adapter().isEmpty()) {
        AdapterProcess.start(settings, file, metrics);
      } else if (settings.agent().isPresent()) {
        AgentProcess.start(settings, metrics);
      } else {
        ServerProcess.start(settings, metrics);
      }
      return ExitCode.OK;
    } catch (DamageException e) {
      System.err.println(e.getMessage());
      return ExitCode.DAMAGED_DATA;
    } catch (Exception e) {
      System.err.println("can't start: " + e);
      return ExitCode.CANNOT_OPEN;
    }
  }

  /**
   * Halts the process at once, because continuing after this error could violate a durability
   * guarantee or an invariant.
   */
  static void halt(Throwable error) {
    ExitCode code = error instanceof IOException ? ExitCode.DISK_FAILED : ExitCode.BROKEN_INVARIANT;
    System.err.println("event=halted code=" + code.code() + " error=\"" + error + "\"");
    error.printStackTrace();
    Runtime.getRuntime().halt(code.code());
  }
}
