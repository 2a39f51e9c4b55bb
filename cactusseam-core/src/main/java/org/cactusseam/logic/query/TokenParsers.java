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
 * Parsers of single tokens. Each states what it expects, so that an error names it. Words are told
 * apart by their place and not by a list of reserved words, so that every name can be used.
 */
final class TokenParsers {

  /** Kinds of tokens. */
  enum TokenKind {
    /** Keyword, name, number or address. */
    WORD,
    /** Text between double quotes. */
    TEXT,
    /** The sign '='. */
    EQUALS
  }

  /** Longest text between double quotes. */
  static final int LONGEST_TEXT = 256;

  private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,18}");
  private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
  private static final Duration LONGEST_DEADLINE = Duration.ofDays(1);

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

  static Parser<Integer> integer(int least, int greatest) {
    return number(least, greatest).map(Long::intValue);
  }

  static Parser<Long> number(long least, long greatest) {
    return word(
        "a whole number from " + least + " to " + greatest,
        text ->
            Optional.of(text)
                .filter(value -> WHOLE_NUMBER.matcher(value).matches())
                .map(Long::valueOf)
                .filter(value -> value >= least && value <= greatest));
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
                .filter(value -> value.isPositive() && value.compareTo(LONGEST_DEADLINE) <= 0));
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
        what + " in double quotes, 1 to " + LONGEST_TEXT + " characters",
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
        .filter(text -> !text.isEmpty() && text.length() <= LONGEST_TEXT);
  }
}
