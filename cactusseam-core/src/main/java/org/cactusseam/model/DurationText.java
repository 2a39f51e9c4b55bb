package org.cactusseam.model;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Durations as people write them in settings and commands: a whole number and a unit without a
 * space, for example {@code 1500ms}, {@code 2s}, {@code 5min}, {@code 12h} or {@code 7d}.
 */
public final class DurationText {

  /** What a reader of an error message has to write. */
  public static final String EXPECTED = "a duration like 500ms, 3s, 10min, 12h or 7d";

  // Nine digits keep the longest duration (in days) inside the range of a long in milliseconds.
  private static final Pattern FORMAT = Pattern.compile("([0-9]{1,9})(ms|s|min|h|d)");

  private DurationText() {}

  /**
   * Reads a duration.
   *
   * @param text text
   * @return the duration, or empty if the text is not a duration
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
   * Writes a duration with the largest unit that loses nothing.
   *
   * @param duration duration in whole milliseconds, not negative
   * @return text that {@link #parse} reads as the same duration
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
