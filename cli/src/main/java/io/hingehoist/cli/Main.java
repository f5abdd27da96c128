package io.hingehoist.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.util.List;

/** Starts {@code hingehoist}. */
public final class Main {

  /** Parameters of every command. */
  private static final class Common {
    @Parameter(
        names = "--entry",
        description = "Addresses of entries, tried in order; HINGEHOIST_ENTRY if missing")
    private List<String> entries = defaultEntries();

    @Parameter(names = "--json", description = "Write JSON, for scripts")
    private boolean json;

    @Parameter(names = "--help", help = true, description = "Show this")
    private boolean help;

    private static List<String> defaultEntries() {
      String named = System.getenv("HINGEHOIST_ENTRY");
      return List.of((named == null ? "127.0.0.1:8080" : named).split(","));
    }
  }

  /** Parameters of a group of commands, or of a command's own help. */
  private static final class Group {
    @Parameter(names = "--help", help = true, description = "Show this")
    private boolean help;
  }

  private Main() {}

  /** Runs the program. */
  public static void main(String[] args) {
    System.exit(run(args).code());
  }

  private static ExitCode run(String[] args) {
    Common common = new Common();
    JCommander parser = parser(common);
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      if (List.of(args).contains("--help")) {
        return usage(deepest(parser), ExitCode.OK);
      }
      System.err.println(e.getMessage());
      return usage(deepest(parser), ExitCode.USAGE);
    }
    JCommander chosen = deepest(parser);
    if (List.of(args).contains("--help")) {
      return usage(chosen, ExitCode.OK);
    }
    if (chosen.getObjects().getFirst() instanceof Action action) {
      return run(action, common);
    }
    return usage(chosen, ExitCode.USAGE);
  }

  private static ExitCode run(Action action, Common common) {
    try {
      return action.run(new EntryClient(common.entries), new Output(System.out, common.json));
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

  private static JCommander parser(Common common) {
    JCommander parser = JCommander.newBuilder().programName("hingehoist").addObject(common).build();
    JCommander settings = group(parser, "settings");
    settings.addCommand("get", new SettingsActions.Get());
    settings.addCommand("set", new SettingsActions.Set());
    settings.addCommand("unset", new SettingsActions.Unset());
    settings.addCommand("tree", new SettingsActions.Tree());
    settings.addCommand("history", new SettingsActions.History());
    JCommander job = group(parser, "job");
    job.addCommand("submit", new JobActions.Submit());
    job.addCommand("status", new JobActions.Status());
    parser.addCommand("members", new MemberActions.Members());
    parser.addCommand("drain", new MemberActions.Drain());
    parser.addCommand("undrain", new MemberActions.Undrain());
    JCommander zone = group(parser, "zone");
    zone.addCommand("list", new ZoneActions.ListZones());
    zone.addCommand("evacuate", new ZoneActions.Evacuate());
    zone.addCommand("restore", new ZoneActions.Restore());
    parser.addCommand("explain", new ExplainAction());
    parser.addCommand("audit", new ReportActions.Audit());
    parser.addCommand("status", new ReportActions.Status());
    return parser;
  }

  private static JCommander group(JCommander parser, String name) {
    parser.addCommand(name, new Group());
    return parser.getCommands().get(name);
  }

  private static JCommander deepest(JCommander parser) {
    String command = parser.getParsedCommand();
    return command == null ? parser : deepest(parser.getCommands().get(command));
  }
}
