package io.hingehoist.settings;

import io.hingehoist.message.FieldSpec;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Static methods that validate values against a {@link FieldSpec}. */
public final class FieldSpecs {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern IP_PORT =
      Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
  private static final String NAME_RANGE =
      "1 to 64 letters, digits, dots, underscores and hyphens, the first a letter or digit";

  private FieldSpecs() {}

  /** Returns the spec of a field by its name. */
  public static Optional<FieldSpec> find(List<FieldSpec> specs, String name) {
    return specs.stream().filter(spec -> spec.name().equals(name)).findFirst();
  }

  /** Returns whether a text is a valid name in settings and submissions. */
  public static boolean isName(String text) {
    return NAME.matcher(text).matches();
  }

  /** Returns a description of valid names, for error messages. */
  public static String describeNameRange() {
    return NAME_RANGE;
  }

  /**
   * Returns an error message that states the field, the value and the allowed range; empty if the
   * value is valid.
   */
  public static Optional<String> validate(FieldSpec spec, String value) {
    boolean allowed =
        switch (spec.type()) {
          case "long", "int" -> isIntegerInRange(spec.range(), value);
          case "double" -> isNumberInRange(spec.range(), value);
          case "array" -> isListAllowed(spec, value);
          default -> isTextAllowed(spec, value);
        };
    if (allowed) {
      return Optional.empty();
    }
    return Optional.of(
        "%s: value \"%s\" is not allowed; allowed: %s"
            .formatted(spec.name(), value, describeRange(spec)));
  }

  /** Returns a description of the allowed range, for error messages. */
  public static String describeRange(FieldSpec spec) {
    return switch (spec.range()) {
      case "name" -> NAME_RANGE;
      case "ip:port" -> "an IP address and a port from 1 to 65535, such as 127.0.0.1:7100";
      case "http url" -> "an http URL with an IP address and a port";
      case "path" -> "a path of a folder";
      default -> spec.range();
    };
  }

  private static boolean isListAllowed(FieldSpec spec, String joined) {
    List<String> items = FieldSpec.list(joined);
    boolean distinct = items.stream().distinct().count() == items.size();
    return !items.isEmpty() && distinct && items.stream().allMatch(i -> isTextAllowed(spec, i));
  }

  private static boolean isTextAllowed(FieldSpec spec, String value) {
    if (value.isEmpty() && spec.defaultValue().isEmpty()) {
      return true;
    }
    return switch (spec.range()) {
      case "name" -> isName(value);
      case "ip:port" -> isAddress(value);
      case "http url" -> isHttpUrl(value);
      case "path", "text" -> !value.isBlank();
      default -> List.of(spec.range().split("\\|")).contains(value);
    };
  }

  /** Returns whether a text is an IP address and a port. */
  public static boolean isAddress(String value) {
    var matcher = IP_PORT.matcher(value);
    if (!matcher.matches()) {
      return false;
    }
    int port = Integer.parseInt(matcher.group(2));
    return port >= 1 && port <= 65_535 && isIpAddress(matcher.group(1));
  }

  private static boolean isIpAddress(String ip) {
    if (ip.startsWith("[")) {
      return true;
    }
    return List.of(ip.split("\\.")).stream().allMatch(part -> Integer.parseInt(part) <= 255);
  }

  private static boolean isHttpUrl(String value) {
    try {
      URI uri = URI.create(value);
      return "http".equals(uri.getScheme()) && isAddress(uri.getHost() + ":" + uri.getPort());
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static boolean isIntegerInRange(String range, String value) {
    try {
      long number = Long.parseLong(value);
      String[] bounds = range.split("\\.\\.");
      return number >= Long.parseLong(bounds[0]) && number <= Long.parseLong(bounds[1]);
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private static boolean isNumberInRange(String range, String value) {
    try {
      double number = Double.parseDouble(value);
      String[] bounds = range.split("\\.\\.");
      return number >= Double.parseDouble(bounds[0]) && number <= Double.parseDouble(bounds[1]);
    } catch (NumberFormatException e) {
      return false;
    }
  }
}
