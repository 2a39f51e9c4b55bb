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
 * One line that a process has logged.
 *
 * @param source process that wrote it
 * @param time time by the clock of that process
 * @param event name of the event
 * @param fields all other fields in their order, without level
 */
public record LogLine(String source, Instant time, String event, Map<String, String> fields) {

  private static final Pattern FIELD =
      Pattern.compile("(?<key>\\w+)=(?:\"(?<quoted>(?:[^\"\\\\]|\\\\.)*)\"|(?<plain>\\S*))");

  private static final String TIME = "time=";
  private static final String EVENT = "event";
  private static final String REQUEST = "request";

  /** Keeps the order of the fields. */
  public LogLine {
    fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
  }

  /**
   * Reads a line. What stands before its time is the name of its process, if it is one word or the
   * last of several; collectors of logs put it there.
   *
   * @param text line
   * @param file name of the process if the line has none
   * @return line, empty if the text is not the line of an event
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
      // Text of another program that happens to contain the word.
      return Optional.empty();
    }
  }

  private static String source(String prefix, String file) {
    String[] words = prefix.trim().split("\\s+");
    String last = words[words.length - 1];
    return last.isEmpty() ? file : last;
  }

  /**
   * Returns the request that the line is about.
   *
   * @return identity, if the line belongs to a request
   */
  public Optional<String> request() {
    return field(REQUEST);
  }

  /**
   * Returns a field.
   *
   * @param name name
   * @return value, if the line has the field
   */
  public Optional<String> field(String name) {
    return Optional.ofNullable(fields.get(name));
  }
}
