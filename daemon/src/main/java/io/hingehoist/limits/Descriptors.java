package io.hingehoist.limits;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The maximum number of open descriptors of a process.
 *
 * @param count the number of descriptors
 * @param source where the number comes from
 */
record Descriptors(int count, Source source) {
  private static final String VARIABLE = "HINGEHOIST_MAX_DESCRIPTORS";
  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final Pattern OPEN_FILES = Pattern.compile("Max open files\\s+(\\d+)\\s.*");

  /** The limit where nothing states one. */
  private static final int DEFAULT_LIMIT = 1_024;

  /** Where the number of descriptors comes from. */
  enum Source {
    /** The settings file. */
    SETTINGS,
    /** The environment of the process. */
    ENVIRONMENT,
    /** The limit of the operating system. */
    SYSTEM,
    /** Nothing states a number. */
    DEFAULT;

    /** Returns the name in logs. */
    String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * Returns the limit of this process.
   *
   * @param stated the number that the settings file states; 0 if it states none
   */
  static Descriptors ofThisProcess(int stated) {
    return of(stated, System.getenv(), LIMITS);
  }

  /**
   * Returns the limit that the box states for the process, or else the one of the system. The
   * system's limit does not count where the box states one: it may cover only some of the
   * descriptors.
   */
  static Descriptors of(int stated, Map<String, String> environment, Path limits) {
    if (stated > 0) {
      return new Descriptors(stated, Source.SETTINGS);
    }
    int inEnvironment = toPositiveInt(environment.getOrDefault(VARIABLE, ""));
    return inEnvironment > 0
        ? new Descriptors(inEnvironment, Source.ENVIRONMENT)
        : ofSystem(limits);
  }

  private static int toPositiveInt(String text) {
    try {
      return Math.max(0, Integer.parseInt(text));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static Descriptors ofSystem(Path limits) {
    try {
      return Files.readAllLines(limits).stream()
          .map(OPEN_FILES::matcher)
          .filter(Matcher::matches)
          .mapToInt(line -> (int) Math.min(Integer.MAX_VALUE, Long.parseLong(line.group(1))))
          .mapToObj(count -> new Descriptors(count, Source.SYSTEM))
          .findFirst()
          .orElseGet(Descriptors::defaultLimit);
    } catch (IOException e) {
      return defaultLimit();
    }
  }

  private static Descriptors defaultLimit() {
    return new Descriptors(DEFAULT_LIMIT, Source.DEFAULT);
  }
}
