package io.hingehoist.limits;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The maximum number of open descriptors of a process.
 *
 * @param count the number of descriptors
 * @param source where the number comes from
 */
record Descriptors(int count, Source source) {
  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final Pattern OPEN_FILES = Pattern.compile("Max open files\\s+(\\d+)\\s.*");

  /** The limit where nothing states one. */
  private static final int DEFAULT_LIMIT = 1_024;

  /** Where the number of descriptors comes from. */
  enum Source {
    /** The settings file. */
    SETTINGS,
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
    Descriptors ofSystem = ofSystem(LIMITS);
    return stated > 0 && stated < ofSystem.count()
        ? new Descriptors(stated, Source.SETTINGS)
        : ofSystem;
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
