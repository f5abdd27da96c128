package io.hingehoist.daemon;

import java.util.logging.LogManager;

/**
 * A log manager that never closes its handlers. The JDK's own closes them as soon as the process is
 * told to stop, and the lines of a planned stop would be lost. Public because the JDK creates it by
 * name.
 */
public final class NonClosingLogManager extends LogManager {
  @Override
  public void reset() {}
}
