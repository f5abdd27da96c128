package io.hingehoist.cli;

import java.io.IOException;

/** One command of the command line. */
sealed interface Action
    permits SettingsActions.Get,
        SettingsActions.Set,
        SettingsActions.Unset,
        SettingsActions.Tree,
        SettingsActions.History,
        JobActions.Submit,
        JobActions.Status,
        MemberActions.Members,
        MemberActions.Drain,
        MemberActions.Undrain,
        ZoneActions.ListZones,
        ZoneActions.Evacuate,
        ZoneActions.Restore,
        ExplainAction,
        ReportActions.Audit,
        ReportActions.Status {

  /** Carries the command out. */
  ExitCode run(EntryClient client, Output output) throws IOException;
}
