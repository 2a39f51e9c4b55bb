package org.cactusseam.logic.query;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.cactusseam.model.DurationText;
import org.cactusseam.model.Names;
import org.jparsec.Parser;
import org.jparsec.Parsers;
import org.jparsec.Token;
import org.jparsec.TokenMap;
import org.jparsec.Tokens;
import org.jspecify.annotations.Nullable;

/**
 * Parsers of single tokens. Each parser describes the expected input for error messages. Keywords
 * are recognised by their position and are not reserved, so that every valid name can be used.
 */
final class TokenParsers {

  /** Lexical category of a token. */
  enum TokenKind {
    /** Keyword, name, number or address, without quotes. */
    WORD,
    /** Text in double quotes. */
    TEXT,
    /** Equals sign. */
    EQUALS
  }

  /** Maximum length of a text in double quotes, in characters. */
  static final int MAX_TEXT_LENGTH = 256;

  private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,18}");
  private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
  private static final Duration MAX_DEADLINE = Duration.ofDays(1);

  private TokenParsers() {}

  private static <T> Parser<T> token(
      String expected, TokenKind kind, Function<String, Optional<T>> reader) {
    return Parsers.token(
        new TokenMap<T>() {
          @Override
          public @Nullable T map(Token token) {
            boolean matches =
                token.value() instanceof Tokens.Fragment fragment && kind.equals(fragment.tag());
            return matches ? reader.apply(token.toString()).orElse(null) : null;
          }

          @Override
          public String toString() {
            return expected;
          }
        });
  }

  private static <T> Parser<T> word(String expected, Function<String, Optional<T>> reader) {
    return token(expected, TokenKind.WORD, reader);
  }

  static Parser<String> keyword(String keyword) {
    return word("'" + keyword + "'", text -> Optional.of(text).filter(keyword::equals));
  }

  static Parser<String> equalsSign() {
    return token("'='", TokenKind.EQUALS, Optional::of);
  }

  static Parser<String> name(String kind) {
    return word("the name of " + kind, text -> Optional.of(text).filter(Names::isValid));
  }

  static Parser<Integer> integer(int minimum, int maximum) {
    return number(minimum, maximum).map(Long::intValue);
  }

  static Parser<Long> number(long minimum, long maximum) {
    return word(
        "a whole number from " + minimum + " to " + maximum,
        text ->
            Optional.of(text)
                .filter(value -> WHOLE_NUMBER.matcher(value).matches())
                .map(Long::valueOf)
                .filter(value -> value >= minimum && value <= maximum));
  }

  static Parser<Boolean> choice(String yes, String no) {
    return word(
        "'" + yes + "' or '" + no + "'",
        text ->
            text.equals(yes)
                ? Optional.of(true)
                : Optional.of(text).filter(no::equals).map(value -> false));
  }

  static <E extends Enum<E>> Parser<E> choice(Class<E> type) {
    String expected =
        Arrays.stream(type.getEnumConstants())
            .map(constant -> "'" + lowerCase(constant) + "'")
            .collect(Collectors.joining(" or "));
    return word(
        expected,
        text ->
            Arrays.stream(type.getEnumConstants())
                .filter(constant -> lowerCase(constant).equals(text))
                .findFirst());
  }

  static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  static Parser<Duration> deadline() {
    return word(
        DurationText.EXPECTED + ", up to 1d",
        text ->
            DurationText.parse(text)
                .filter(value -> value.isPositive() && value.compareTo(MAX_DEADLINE) <= 0));
  }

  static Parser<Address> address() {
    return word("an address like 10.0.0.1:8080", Address::parse);
  }

  static Parser<String> keyHash() {
    return word(
        "64 lower-case hexadecimal digits",
        text -> Optional.of(text).filter(value -> KEY_HASH.matcher(value).matches()));
  }

  static Parser<String> text(String what) {
    return token(
        what + " in double quotes, 1 to " + MAX_TEXT_LENGTH + " characters",
        TokenKind.TEXT,
        TokenParsers::unquote);
  }

  static Parser<String> path() {
    return token(
        "a path like \"/v1/completions\"",
        TokenKind.TEXT,
        text -> unquote(text).filter(path -> path.startsWith("/")));
  }

  private static Optional<String> unquote(String quoted) {
    return Optional.of(quoted.substring(1, quoted.length() - 1))
        .filter(text -> !text.isEmpty() && text.length() <= MAX_TEXT_LENGTH);
  }
}
