package io.hingehoist.daemon;

import io.hingehoist.config.DaemonSettings;
import io.hingehoist.config.SettingsFile;
import io.hingehoist.config.SettingsResult;
import io.hingehoist.log.DecisionLog;
import io.hingehoist.net.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Reloads the settings file when its content changes or a SIGHUP arrives. An invalid file is logged
 * and otherwise ignored. Not thread-safe: confined to the event loop.
 */
final class SettingsFileWatcher {
  private static final long CHECK_INTERVAL_MS = 500;

  private final Path file;
  private final EventLoop loop;
  private final DecisionLog log;
  private final Consumer<DaemonSettings> changes;
  private byte[] content;

  private SettingsFileWatcher(
      Path file, EventLoop loop, DecisionLog log, Consumer<DaemonSettings> changes) {
    this.file = file;
    this.loop = loop;
    this.log = log;
    this.changes = changes;
    this.content = read();
  }

  static void start(Path file, EventLoop loop, DecisionLog log, Consumer<DaemonSettings> changes) {
    SettingsFileWatcher watch = new SettingsFileWatcher(file, loop, log, changes);
    loop.scheduleRepeating(watch::check, CHECK_INTERVAL_MS);
    HangupSignal.handle(watch::onHangup);
  }

  private void onHangup() {
    loop.execute(
        () -> {
          log.write("hangup", file.toString(), "");
          check();
        });
  }

  private byte[] read() {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      return new byte[0];
    }
  }

  private void check() {
    byte[] now = read();
    if (now.length == 0 || Arrays.equals(now, content)) {
      return;
    }
    content = now;
    switch (SettingsFile.read(file)) {
      case SettingsResult.Valid valid -> {
        log.write("settingsReloaded", file.toString(), "");
        changes.accept(valid.settings());
      }
      case SettingsResult.Invalid invalid ->
          log.write("settingsRefused", file.toString(), String.join("; ", invalid.problems()));
    }
  }
}
