package org.cactusseam.logic.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A structured log line of a process.
 *
 * @param source name of the process that wrote the line
 * @param time time according to the clock of that process
 * @param event name of the event
 * @param fields all other fields except the level, in the order of the line
 */
public record LogLine(String source, Instant time, String event, Map<String, String> fields) {

  private static final Pattern FIELD =
      Pattern.compile("(?<key>\\w+)=(?:\"(?<quoted>(?:[^\"\\\\]|\\\\.)*)\"|(?<plain>\\S*))");

  private static final String TIME = "time=";
  private static final String EVENT = "event";
  private static final String REQUEST = "request";

  /** Creates a line with an immutable copy of the fields that preserves their order. */
  public LogLine {
    fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
  }

  /**
   * Parses a log line. The last word before the time, if any, is the name of the process, as log
   * collectors prepend it.
   *
   * @param text text of the line
   * @param file name of the process to use if the line contains none
   * @return parsed line, or empty if the text is not a structured log line with an event
   */
  public static Optional<LogLine> parse(String text, String file) {
    int start = text.indexOf(TIME);
    if (start < 0) {
      return Optional.empty();
    }
    Map<String, String> fields = new LinkedHashMap<>();
    Matcher matcher = FIELD.matcher(text.substring(start));
    while (matcher.find()) {
      String quoted = matcher.group("quoted");
      fields.putIfAbsent(
          matcher.group("key"),
          quoted == null ? matcher.group("plain") : quoted.replaceAll("\\\\(.)", "$1"));
    }
    String event = fields.remove(EVENT);
    fields.remove("level");
    try {
      Instant time = Instant.parse(fields.remove("time"));
      return event == null
          ? Optional.empty()
          : Optional.of(new LogLine(source(text.substring(0, start), file), time, event, fields));
    } catch (DateTimeParseException e) {
      // The line was written by another program and happens to contain "time=".
      return Optional.empty();
    }
  }

  private static String source(String prefix, String file) {
    String[] words = prefix.trim().split("\\s+");
    String last = words[words.length - 1];
    return last.isEmpty() ? file : last;
  }

  /**
   * Returns the identity of the request to which the line refers.
   *
   * @return identity of the request, or empty if the line does not refer to one
   */
  public Optional<String> request() {
    return field(REQUEST);
  }

  /**
   * Returns the value of a field.
   *
   * @param name name of the field
   * @return value, or empty if the line does not contain the field
   */
  public Optional<String> field(String name) {
    return Optional.ofNullable(fields.get(name));
  }
}
