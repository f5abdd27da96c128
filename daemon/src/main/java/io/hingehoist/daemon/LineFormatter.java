package io.hingehoist.daemon;

import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Formats each log record as one line of text or JSON. Messages are key-value pairs, such as {@code
 * event=leaseLost agent=w1}; in JSON each pair becomes a field.
 */
final class LineFormatter extends Formatter {
  private static final Pattern PAIR = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\S*)");

  private final boolean json;

  LineFormatter(boolean json) {
    this.json = json;
  }

  @Override
  public String format(LogRecord record) {
    String message = formatMessage(record);
    if (record.getThrown() != null) {
      message += " error=\"" + String.valueOf(record.getThrown()).replace('"', '\'') + "\"";
    }
    String name = record.getLoggerName();
    String logger = name.substring(name.lastIndexOf('.') + 1);
    return json ? toJson(record, logger, message) : toText(record, logger, message);
  }

  private static String toText(LogRecord record, String logger, String message) {
    return "%s %s %s %s%n".formatted(timestamp(record), record.getLevel(), logger, message);
  }

  private static Instant timestamp(LogRecord record) {
    return Instant.ofEpochMilli(record.getMillis());
  }

  private static String toJson(LogRecord record, String logger, String message) {
    StringBuilder line = new StringBuilder();
    line.append("{\"at\":\"").append(timestamp(record)).append("\",\"level\":\"");
    line.append(record.getLevel()).append("\",\"logger\":\"").append(logger).append('"');
    Matcher pairs = PAIR.matcher(message);
    while (pairs.find()) {
      String value = pairs.group(2).replaceAll("^\"|\"$", "");
      line.append(",\"").append(pairs.group(1)).append("\":\"").append(escape(value)).append('"');
    }
    return line.append('}').append(System.lineSeparator()).toString();
  }

  private static String escape(String value) {
    StringBuilder escaped = new StringBuilder();
    for (char c : value.toCharArray()) {
      if (c == '\\' || c == '"') {
        escaped.append('\\').append(c);
      } else if (c < ' ') {
        escaped.append("\\u%04x".formatted((int) c));
      } else {
        escaped.append(c);
      }
    }
    return escaped.toString();
  }
}
