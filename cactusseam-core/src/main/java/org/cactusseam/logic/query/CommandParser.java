package org.cactusseam.logic.query;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cactusseam.logic.query.TokenParsers.TokenKind;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ObjectKind;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ServiceState;
import org.jparsec.Parser;
import org.jparsec.Parsers;
import org.jparsec.Scanners;
import org.jparsec.Tokens;
import org.jparsec.error.ParseErrorDetails;
import org.jparsec.error.ParserException;
import org.jparsec.pattern.Patterns;

/**
 * Parser of the operator command language, which {@code docs/operators.md} describes. The input is
 * untrusted: every text results in a command or an error.
 */
public final class CommandParser {

  /**
   * Maximum length of a command in characters. Maliciously crafted texts of 16,000 characters take
   * up to 70 ms to parse, which is too long for an event loop. This length is sufficient for 50 key
   * hashes.
   */
  public static final int MAX_COMMAND_LENGTH = 4_096;

  private static final long MAX_REVISION = 999_999_999_999_999_999L;
  private static final int MAX_COUNT = 1_000_000;
  private static final long MAX_MEMORY_TOKENS = 1_000_000_000_000L;
  private static final int MAX_QUOTED_INPUT_LENGTH = 20;

  private static final Parser<Command> COMMAND =
      Parsers.or(queries(), orders()).from(tokenizer(), Scanners.WHITESPACES.optional(null));

  private CommandParser() {}

  /**
   * Parses one command.
   *
   * @param text untrusted text
   * @return the command, or the position and description of the syntax error
   */
  public static Either<CommandError, Command> parse(String text) {
    if (text.length() > MAX_COMMAND_LENGTH) {
      String limit = "at most " + MAX_COMMAND_LENGTH + " characters";
      return Either.left(new CommandError(1, 1, List.of(limit), text.length() + " characters"));
    }
    try {
      return Either.right(COMMAND.parse(text));
    } catch (ParserException e) {
      return Either.left(toCommandError(e, text));
    }
  }

  private static CommandError toCommandError(ParserException exception, String text) {
    ParseErrorDetails details = exception.getErrorDetails();
    List<String> expected =
        details.getExpected().stream()
            .map(label -> label.equals("EOF") ? "the end" : label)
            .distinct()
            .sorted()
            .toList();
    return new CommandError(
        exception.getLine(),
        exception.getColumn(),
        expected.isEmpty() ? List.of("a command") : expected,
        describeFound(text, details.getIndex()));
  }

  private static String describeFound(String text, int index) {
    // The word is taken from the text, because for an unterminated quoted text the library reports
    // the end of the input.
    String rest = text.substring(Math.min(index, text.length()));
    if (rest.isBlank()) {
      return "the end";
    }
    String word = rest.strip().split("\\s", 2)[0].replaceAll("\\p{Cntrl}", "?");
    return word.length() <= MAX_QUOTED_INPUT_LENGTH
        ? "'" + word + "'"
        : "'" + word.substring(0, MAX_QUOTED_INPUT_LENGTH) + "...'";
  }

  private static Parser<Tokens.Fragment> tokenizer() {
    return Parsers.or(
        scanner("[^\\s\"=]+", "a word", TokenKind.WORD),
        scanner("\"[^\"\\p{Cntrl}]*\"", "a text in double quotes", TokenKind.TEXT),
        scanner("=", "'='", TokenKind.EQUALS));
  }

  private static Parser<Tokens.Fragment> scanner(String pattern, String name, TokenKind kind) {
    return Patterns.regex(pattern)
        .toScanner(name)
        .source()
        .map(text -> Tokens.fragment(text, kind));
  }

  private static Parser<Command> queries() {
    Parser<Command> requests =
        Parsers.sequence(TokenParsers.keyword("requests"), conditions())
            .map(conditions -> new Command.ShowRequests(conditions));
    Parser<Command> command =
        Parsers.sequence(TokenParsers.keyword("command"), TokenParsers.name("a command"))
            .map(Command.ShowCommand::new);
    Parser<Command> listing = TokenParsers.choice(Command.Listing.class).map(Command.Show::new);
    return Parsers.sequence(TokenParsers.keyword("show"), Parsers.or(requests, command, listing));
  }

  private static Parser<List<Command.Condition>> conditions() {
    Parser<Command.Condition> condition =
        Parsers.sequence(
            TokenParsers.choice(Command.Field.class),
            TokenParsers.equalsSign(),
            TokenParsers.name("an object"),
            (field, sign, name) -> new Command.Condition(field, name));
    return Parsers.sequence(
            TokenParsers.keyword("where"), condition.sepBy1(TokenParsers.keyword("and")))
        .optional(List.of());
  }

  private static Parser<Command> orders() {
    Parser<OptionalLong> revision =
        Parsers.sequence(
                TokenParsers.keyword("if"),
                TokenParsers.keyword("revision"),
                TokenParsers.number(0, MAX_REVISION))
            .map(OptionalLong::of)
            .optional(OptionalLong.empty());
    Parser<Command> conditional =
        revision.next(
            seen ->
                Parsers.or(
                    change(seen), remove(seen), setService(seen), roll(seen), changeRollout(seen)));
    return Parsers.or(create(), load(), changeRole(), conditional);
  }

  private static Parser<Command> create() {
    return Parsers.sequence(
        TokenParsers.keyword("create"),
        Parsers.or(
            create("class", "a class", classAttributes(true)),
            create("account", "an account", accountAttributes(true)),
            create("route", "a route", routeAttributes(true)),
            create("domain", "a failure domain", domainAttributes(true)),
            create("server", "a backend server", serverAttributes(true))));
  }

  private static Parser<Command> create(String kind, String what, Parser<Attributes> attributes) {
    return Parsers.sequence(
        TokenParsers.keyword(kind),
        TokenParsers.name(what),
        attributes,
        (keyword, name, specified) -> new Command.Create(name, specified));
  }

  private static Parser<Command> change(OptionalLong revision) {
    return Parsers.sequence(
        TokenParsers.keyword("change"),
        Parsers.or(
            change(revision, "class", "a class", classAttributes(false)),
            change(revision, "account", "an account", accountAttributes(false)),
            change(revision, "route", "a route", routeAttributes(false)),
            change(revision, "domain", "a failure domain", domainAttributes(false)),
            change(revision, "server", "a backend server", serverAttributes(false))));
  }

  private static Parser<Command> change(
      OptionalLong revision, String kind, String what, Parser<Attributes> attributes) {
    Parser<?> anyAttribute = Parsers.ANY_TOKEN.label("an attribute").peek();
    return Parsers.sequence(
        TokenParsers.keyword(kind),
        TokenParsers.name(what).followedBy(anyAttribute),
        attributes,
        (keyword, name, specified) -> new Command.Change(revision, name, specified));
  }

  private static Parser<Command> remove(OptionalLong revision) {
    return Parsers.sequence(
            TokenParsers.keyword("remove"),
            Parsers.or(
                key("class", ObjectKind.PRIORITY_CLASS),
                key("account", ObjectKind.ACCOUNT),
                key("route", ObjectKind.ROUTE),
                key("domain", ObjectKind.FAILURE_DOMAIN),
                key("server", ObjectKind.BACKEND_SERVER)))
        .map(key -> new Command.Remove(revision, key));
  }

  private static Parser<ObjectKey> key(String keyword, ObjectKind kind) {
    return Parsers.sequence(TokenParsers.keyword(keyword), TokenParsers.name("an object"))
        .map(name -> new ObjectKey(kind, name));
  }

  private static Parser<Command> setService(OptionalLong revision) {
    return Parsers.or(
        setService(revision, "take", "out", ServiceState.OUT),
        setService(revision, "bring", "in", ServiceState.IN));
  }

  private static Parser<Command> setService(
      OptionalLong revision, String verb, String direction, ServiceState state) {
    return Parsers.sequence(
        TokenParsers.keyword(verb),
        Parsers.or(
            key("domain", ObjectKind.FAILURE_DOMAIN), key("server", ObjectKind.BACKEND_SERVER)),
        TokenParsers.keyword(direction),
        (keyword, key, last) -> new Command.SetService(revision, key, state));
  }

  private static Parser<Command> roll(OptionalLong revision) {
    return Parsers.sequence(
        TokenParsers.keyword("roll"),
        pool(),
        Parsers.sequence(
            TokenParsers.keyword("to"),
            TokenParsers.keyword("version"),
            TokenParsers.text("a version")),
        Parsers.sequence(TokenParsers.keyword("within"), TokenParsers.deadline()),
        (roll, pool, version, duration) -> new Command.Roll(revision, pool, version, duration));
  }

  private static Parser<Command> changeRollout(OptionalLong revision) {
    return Parsers.sequence(
        TokenParsers.choice(Command.RolloutChange.class),
        Parsers.sequence(TokenParsers.keyword("roll-out"), TokenParsers.keyword("of"), pool()),
        (change, pool) -> new Command.ChangeRollout(revision, change, pool));
  }

  private static Parser<PoolName> pool() {
    return Parsers.sequence(TokenParsers.keyword("pool"), TokenParsers.name("a pool"))
        .map(PoolName::new);
  }

  private static Parser<Command> load() {
    return Parsers.sequence(
        TokenParsers.keyword("load"),
        TokenParsers.choice(Command.Artifact.class),
        TokenParsers.text("a name"),
        Parsers.sequence(TokenParsers.keyword("on"), server()),
        (keyword, artifact, name, server) -> new Command.Load(artifact, name, server));
  }

  private static Parser<Command> changeRole() {
    // The lookahead distinguishes "change role of" from the change of an object.
    return Parsers.sequence(
        TokenParsers.keyword("change").next(TokenParsers.keyword("role")).atomic(),
        TokenParsers.keyword("of"),
        server(),
        TokenParsers.keyword("to"),
        TokenParsers.text("a role"),
        (role, of, server, to, text) -> new Command.ChangeRole(server, text));
  }

  private static Parser<BackendServerName> server() {
    return Parsers.sequence(TokenParsers.keyword("server"), TokenParsers.name("a backend server"))
        .map(BackendServerName::new);
  }

  private static <T> Parser<Optional<T>> attribute(
      String keyword, Parser<T> value, boolean required) {
    Parser<Optional<T>> specified =
        Parsers.sequence(TokenParsers.keyword(keyword), value).map(Optional::of);
    return required ? specified : specified.optional(Optional.empty());
  }

  private static Parser<Attributes> classAttributes(boolean required) {
    Parser<Boolean> value = TokenParsers.choice("yes", "no").optional(true);
    return Parsers.sequence(
        attribute("rank", TokenParsers.integer(0, 9), required),
        attribute("may-wait", value, false),
        Attributes.OfClass::new);
  }

  private static Parser<Attributes> accountAttributes(boolean required) {
    Parser<String> keyHash =
        Parsers.sequence(TokenParsers.keyword("key-hash"), TokenParsers.keyHash());
    return Parsers.sequence(
        attribute("class", TokenParsers.name("a class").map(PriorityClassName::new), required),
        attribute("share", TokenParsers.integer(0, MAX_COUNT), required),
        required ? keyHash.many1() : keyHash.many(),
        Attributes.OfAccount::new);
  }

  private static Parser<Attributes> routeAttributes(boolean required) {
    return Parsers.sequence(
        attribute("path", TokenParsers.path(), required),
        attribute("model", TokenParsers.text("a model"), false),
        attribute("pool", TokenParsers.name("a pool").map(PoolName::new), required),
        attribute("kind", TokenParsers.choice(BackendKind.class), required),
        attribute("repeatable", TokenParsers.choice("yes", "no"), required),
        attribute("deadline", TokenParsers.deadline(), required),
        Attributes.OfRoute::new);
  }

  private static Parser<Attributes> domainAttributes(boolean required) {
    return attribute("region", TokenParsers.name("a region").map(RegionName::new), required)
        .map(Attributes.OfDomain::new);
  }

  private static Parser<Attributes> serverAttributes(boolean required) {
    return Parsers.sequence(
        attribute("pool", TokenParsers.name("a pool").map(PoolName::new), required),
        attribute(
            "domain", TokenParsers.name("a failure domain").map(FailureDomainName::new), required),
        attribute("kind", TokenParsers.choice(BackendKind.class), required),
        attribute("address", TokenParsers.address(), required),
        attribute("fencing", TokenParsers.choice("checked", "ignored"), required),
        attribute("cold-limit", TokenParsers.integer(1, MAX_COUNT), required),
        attribute("warm-limit", TokenParsers.integer(1, MAX_COUNT), required),
        memoryAndVersion(),
        (pool, domain, kind, address, fencing, coldLimit, warmLimit, last) ->
            new Attributes.OfServer(
                pool,
                domain,
                kind,
                address,
                fencing,
                coldLimit,
                warmLimit,
                last.memory,
                last.version));
  }

  /** Last attributes of a server; the library combines at most eight parsers at a time. */
  private record MemoryAndVersion(Optional<Long> memory, Optional<String> version) {}

  private static Parser<MemoryAndVersion> memoryAndVersion() {
    return Parsers.sequence(
        attribute("memory", TokenParsers.number(0, MAX_MEMORY_TOKENS), false),
        attribute("version", TokenParsers.text("a version"), false),
        MemoryAndVersion::new);
  }
}
