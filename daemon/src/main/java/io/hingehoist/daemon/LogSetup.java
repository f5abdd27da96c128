package io.hingehoist.daemon;

import io.hingehoist.settings.NodeSection;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/**
 * Static helpers that configure JBoss Logging to use {@code java.util.logging}, the backend with
 * the smallest cost in an agent.
 */
final class LogSetup {
  /**
   * Keeps the logger reachable. The log manager holds loggers by weak references, so a collected
   * logger would lose its level.
   */
  private static Logger ownLogger;

  private LogSetup() {}

  /** Selects the logging backend. Must be called before the first logger is created. */
  static void chooseBackend() {
    System.setProperty("org.jboss.logging.provider", "jdk");
    System.setProperty("java.util.logging.manager", NonClosingLogManager.class.getName());
  }

  static void configure(NodeSection node) {
    Logger root = Logger.getLogger("");
    for (Handler existing : root.getHandlers()) {
      root.removeHandler(existing);
    }
    Level level =
        switch (node.logLevel()) {
          case "DEBUG" -> Level.FINE;
          case "WARN" -> Level.WARNING;
          case "ERROR" -> Level.SEVERE;
          default -> Level.INFO;
        };
    Handler handler = new FlushingHandler(new LineFormatter(node.logFormat().equals("json")));
    handler.setLevel(Level.ALL);
    root.addHandler(handler);
    root.setLevel(Level.WARNING);
    ownLogger = Logger.getLogger("io.hingehoist");
    ownLogger.setLevel(level);
  }

  private static final class FlushingHandler extends StreamHandler {
    private FlushingHandler(LineFormatter formatter) {
      super(System.out, formatter);
    }

    @Override
    public synchronized void publish(java.util.logging.LogRecord record) {
      super.publish(record);
      flush();
    }
  }
}
