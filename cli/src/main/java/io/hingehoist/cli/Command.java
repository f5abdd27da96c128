package io.hingehoist.cli;

import java.io.IOException;

/** A command of the command line. */
sealed interface Command
    permits SettingsCommands.Get,
        SettingsCommands.Set,
        SettingsCommands.Unset,
        SettingsCommands.Tree,
        SettingsCommands.History,
        JobCommands.Submit,
        JobCommands.Status,
        MemberCommands.Members,
        MemberCommands.Drain,
        MemberCommands.Undrain,
        ZoneCommands.ListZones,
        ZoneCommands.Evacuate,
        ZoneCommands.Restore,
        ExplainCommand,
        ReportCommands.Audit,
        ReportCommands.Status {

  /** Runs the command, and returns the exit code. */
  ExitCode run(EntryClient client, Output output) throws IOException;
}
