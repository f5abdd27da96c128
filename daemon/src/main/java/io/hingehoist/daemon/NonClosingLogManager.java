package io.hingehoist.daemon;

import java.util.logging.LogManager;

/**
 * A log manager that never closes its handlers. The JDK's default closes them as soon as the
 * shutdown of the process begins, so that the log lines of a planned stop would be lost. Public
 * because the JDK instantiates it by name.
 */
public final class NonClosingLogManager extends LogManager {
  @Override
  public void reset() {}
}
