package io.hingehoist.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.util.List;

/** The entry point of {@code hingehoist}. */
public final class Main {

  /** Options common to all commands. */
  private static final class CommonOptions {
    @Parameter(
        names = "--entry",
        description = "Addresses of entries, tried in order; HINGEHOIST_ENTRY if missing")
    private List<String> entries = defaultEntries();

    @Parameter(names = "--json", description = "Write JSON, for scripts")
    private boolean json;

    @Parameter(names = "--help", help = true, description = "Show this")
    private boolean help;

    private static List<String> defaultEntries() {
      String fromEnvironment = System.getenv("HINGEHOIST_ENTRY");
      return List.of((fromEnvironment == null ? "127.0.0.1:8080" : fromEnvironment).split(","));
    }
  }

  /** Options of a group of commands. */
  private static final class CommandGroup {
    @Parameter(names = "--help", help = true, description = "Show this")
    private boolean help;
  }

  private Main() {}

  /** Runs the program. */
  public static void main(String[] args) {
    System.exit(run(args).code());
  }

  private static ExitCode run(String[] args) {
    CommonOptions options = new CommonOptions();
    JCommander parser = parser(options);
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      if (List.of(args).contains("--help")) {
        return usage(innermostCommand(parser), ExitCode.OK);
      }
      System.err.println(e.getMessage());
      return usage(innermostCommand(parser), ExitCode.USAGE);
    }
    JCommander selected = innermostCommand(parser);
    if (List.of(args).contains("--help")) {
      return usage(selected, ExitCode.OK);
    }
    if (selected.getObjects().getFirst() instanceof Command command) {
      return run(command, options);
    }
    return usage(selected, ExitCode.USAGE);
  }

  private static ExitCode run(Command command, CommonOptions options) {
    try {
      return command.run(new EntryClient(options.entries), new Output(System.out, options.json));
    } catch (IOException e) {
      System.err.println("no answer: " + e.getMessage());
      return ExitCode.UNAVAILABLE;
    }
  }

  private static ExitCode usage(JCommander parser, ExitCode code) {
    StringBuilder text = new StringBuilder();
    parser.getUsageFormatter().usage(text);
    text.append("  Exit codes: 0 done; 1 refused or failed; 64 wrong command line;\n");
    text.append("    69 no answer or outcome unknown: do it again under the same id\n");
    (code == ExitCode.OK ? System.out : System.err).print(text);
    return code;
  }

  private static JCommander parser(CommonOptions options) {
    JCommander parser =
        JCommander.newBuilder().programName("hingehoist").addObject(options).build();
    JCommander settings = group(parser, "settings");
    settings.addCommand("get", new SettingsCommands.Get());
    settings.addCommand("set", new SettingsCommands.Set());
    settings.addCommand("unset", new SettingsCommands.Unset());
    settings.addCommand("tree", new SettingsCommands.Tree());
    settings.addCommand("history", new SettingsCommands.History());
    JCommander job = group(parser, "job");
    job.addCommand("submit", new JobCommands.Submit());
    job.addCommand("status", new JobCommands.Status());
    parser.addCommand("members", new MemberCommands.Members());
    parser.addCommand("drain", new MemberCommands.Drain());
    parser.addCommand("undrain", new MemberCommands.Undrain());
    JCommander zone = group(parser, "zone");
    zone.addCommand("list", new ZoneCommands.ListZones());
    zone.addCommand("evacuate", new ZoneCommands.Evacuate());
    zone.addCommand("restore", new ZoneCommands.Restore());
    parser.addCommand("explain", new ExplainCommand());
    parser.addCommand("audit", new ReportCommands.Audit());
    parser.addCommand("status", new ReportCommands.Status());
    return parser;
  }

  private static JCommander group(JCommander parser, String name) {
    parser.addCommand(name, new CommandGroup());
    return parser.getCommands().get(name);
  }

  private static JCommander innermostCommand(JCommander parser) {
    String command = parser.getParsedCommand();
    return command == null ? parser : innermostCommand(parser.getCommands().get(command));
  }
}
