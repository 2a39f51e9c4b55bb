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
 * Syntax and range of a setting.
 *
 * @param expected what a valid value looks like, for people
 * @param showsValue whether a fault may quote the value; false where a secret could stand by
 *     mistake
 * @param plain whether the value must be written without quotes, as numbers are
 * @param parser reads a value, or returns empty if the text is not valid
 * @param <T> type of the values
 */
record ValueType<T>(
    String expected, boolean showsValue, boolean plain, Function<String, Optional<T>> parser) {

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

  static ValueType<Integer> integer(int least, int greatest) {
    return new ValueType<>(
        "a whole number from " + least + " to " + greatest,
        true,
        true,
        text ->
            Optional.of(text)
                .filter(value -> WHOLE_NUMBER.matcher(value).matches())
                .map(Long::valueOf)
                .filter(value -> value >= least && value <= greatest)
                .map(Long::intValue));
  }

  static ValueType<Duration> duration(Duration least, Duration greatest) {
    return new ValueType<>(
        DurationText.EXPECTED
            + ", from "
            + DurationText.format(least)
            + " to "
            + DurationText.format(greatest),
        true,
        false,
        text ->
            DurationText.parse(text)
                .filter(value -> value.compareTo(least) >= 0 && value.compareTo(greatest) <= 0));
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

  /** URLs are not quoted in faults, because people write passwords into them. */
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

  /** File names are not quoted in faults, because people paste the key in place of its file. */
  static ValueType<String> file() {
    return new ValueType<>(
        "the name of a file",
        false,
        false,
        text -> Optional.of(text).filter(value -> !value.isBlank()));
  }
}
