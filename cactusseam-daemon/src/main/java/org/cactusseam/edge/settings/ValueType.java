package org.cactusseam.edge.settings;

import com.google.common.net.InetAddresses;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.cactusseam.model.DurationText;
import org.cactusseam.model.Names;

/**
 * Syntax and range of the values of a setting.
 *
 * @param expected human-readable description of a valid value
 * @param showsValue whether error messages may quote the value; false where users may put a secret
 *     by mistake
 * @param unquoted whether the value must be written without quotes, like a number
 * @param parser parses a value; returns empty if the text is invalid
 * @param <T> Java type of the values
 */
record ValueType<T>(
    String expected, boolean showsValue, boolean unquoted, Function<String, Optional<T>> parser) {

  private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,10}");
  private static final Pattern STREAM_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

  static <T> ValueType<T> name(Function<String, T> constructor) {
    return new ValueType<>(
        "a name of 1 to 63 lower-case letters, digits, '.', '_' or '-'",
        true,
        false,
        text -> Optional.of(text).filter(Names::isValid).map(constructor));
  }

  static ValueType<String> streamName() {
    return new ValueType<>(
        "a stream name of 1 to 128 letters, digits, '.', '_' or '-'",
        true,
        false,
        text -> Optional.of(text).filter(value -> STREAM_NAME.matcher(value).matches()));
  }

  static ValueType<String> ipAddress() {
    return new ValueType<>(
        "an IP address",
        true,
        false,
        text -> Optional.of(text).filter(InetAddresses::isInetAddress));
  }

  static ValueType<Integer> integer(int min, int max) {
    return new ValueType<>(
        "a whole number from " + min + " to " + max,
        true,
        true,
        text ->
            Optional.of(text)
                .filter(value -> WHOLE_NUMBER.matcher(value).matches())
                .map(Long::valueOf)
                .filter(value -> value >= min && value <= max)
                .map(Long::intValue));
  }

  static ValueType<Duration> duration(Duration min, Duration max) {
    return new ValueType<>(
        DurationText.EXPECTED
            + ", from "
            + DurationText.format(min)
            + " to "
            + DurationText.format(max),
        true,
        false,
        text ->
            DurationText.parse(text)
                .filter(value -> value.compareTo(min) >= 0 && value.compareTo(max) <= 0));
  }

  static <E extends Enum<E>> ValueType<E> choice(Class<E> type) {
    String names =
        Arrays.stream(type.getEnumConstants())
            .map(ValueType::lowerCase)
            .collect(Collectors.joining(", "));
    return new ValueType<>(
        "one of " + names,
        true,
        false,
        text ->
            Arrays.stream(type.getEnumConstants())
                .filter(constant -> lowerCase(constant).equals(text))
                .findFirst());
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** Error messages do not quote URLs, because they may contain passwords. */
  static ValueType<URI> httpUrl() {
    return new ValueType<>(
        "a URL like http://10.0.0.1:9000 without user, query or fragment",
        false,
        false,
        ValueType::parseHttpUrl);
  }

  private static Optional<URI> parseHttpUrl(String text) {
    try {
      return Optional.of(new URI(text)).filter(ValueType::isPlainHttp);
    } catch (URISyntaxException e) {
      return Optional.empty();
    }
  }

  private static boolean isPlainHttp(URI uri) {
    boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
    return http
        && uri.getHost() != null
        && uri.getPort() <= 65_535
        && uri.getUserInfo() == null
        && uri.getQuery() == null
        && uri.getFragment() == null;
  }

  /**
   * Error messages do not quote file names, because users may paste a key instead of its file name.
   */
  static ValueType<String> file() {
    return new ValueType<>(
        "the name of a file",
        false,
        false,
        text -> Optional.of(text).filter(value -> !value.isBlank()));
  }
}
