package org.cactusseam.model;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats durations in settings and commands: a whole number followed by a unit without
 * a space, for example {@code 1500ms}, {@code 2s}, {@code 5min}, {@code 12h} or {@code 7d}.
 */
public final class DurationText {

  /** Description of the expected format for error messages. */
  public static final String EXPECTED = "a duration like 500ms, 3s, 10min, 12h or 7d";

  // With 9 digits the longest duration, in days, stays within the range of a long in milliseconds.
  private static final Pattern FORMAT = Pattern.compile("([0-9]{1,9})(ms|s|min|h|d)");

  private DurationText() {}

  /**
   * Parses a duration.
   *
   * @param text text such as {@code 1500ms}
   * @return duration, or empty if the text has another format
   */
  public static Optional<Duration> parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    long amount = Long.parseLong(matcher.group(1));
    return Optional.of(
        switch (matcher.group(2)) {
          case "ms" -> Duration.ofMillis(amount);
          case "s" -> Duration.ofSeconds(amount);
          case "min" -> Duration.ofMinutes(amount);
          case "h" -> Duration.ofHours(amount);
          default -> Duration.ofDays(amount);
        });
  }

  /**
   * Formats a duration with the largest unit that represents it exactly.
   *
   * @param duration duration in whole milliseconds, not negative
   * @return text that {@link #parse} parses to the same duration
   */
  public static String format(Duration duration) {
    long millis = duration.toMillis();
    if (millis == 0 || millis % 1_000 != 0) {
      return millis + "ms";
    }
    long seconds = millis / 1_000;
    if (seconds % 60 != 0) {
      return seconds + "s";
    }
    long minutes = seconds / 60;
    if (minutes % 60 != 0) {
      return minutes + "min";
    }
    long hours = minutes / 60;
    return hours % 24 != 0 ? hours + "h" : hours / 24 + "d";
  }
}
