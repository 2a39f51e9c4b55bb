package org.cactusseam.logic.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ObjectKind;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ServiceState;

/**
 * Guards against input that makes the parser throw, and against commands that change when they are
 * printed and parsed again.
 */
class CommandPropertiesTest {

  private static final List<String> PIECES =
      List.of(
          "show",
          "requests",
          "where",
          "account",
          "=",
          "and",
          "create",
          "class",
          "server",
          "rank",
          "1",
          "999999999999999999999",
          "if",
          "revision",
          "change",
          "role",
          "of",
          "to",
          "\"x\"",
          "\"",
          "\u0000",
          "\n",
          "take",
          "out",
          "roll",
          "pool",
          "within",
          "pause",
          "roll-out",
          "-1",
          "key-hash",
          "10.0.0.1:1",
          "[::",
          "5min",
          "é");

  private static Arbitrary<String> names() {
    Arbitrary<String> words = Arbitraries.of("class", "role", "out", "where", "and", "if");
    Arbitrary<String> random =
        Arbitraries.strings().withCharRange('a', 'z').numeric().ofMinLength(1).ofMaxLength(63);
    return Arbitraries.oneOf(words, random);
  }

  private static Arbitrary<String> texts() {
    return Arbitraries.strings()
        .withCharRange(' ', '~')
        .withChars('é', '漢')
        .excludeChars('"')
        .ofMinLength(1)
        .ofMaxLength(TokenParsers.MAX_TEXT_LENGTH);
  }

  private static Arbitrary<OptionalLong> revisions() {
    return Arbitraries.oneOf(
        Arbitraries.just(OptionalLong.empty()),
        Arbitraries.longs().between(0, 999_999_999_999_999_999L).map(OptionalLong::of));
  }

  /** The library combines at most eight values at a time. */
  private record Limits(Optional<Integer> cold, Optional<Integer> warm) {}

  private static Arbitrary<Attributes> attributes(boolean required) {
    double absent = required ? 0 : 0.4;
    Arbitrary<Integer> counts = Arbitraries.integers().between(1, 1_000_000);
    Arbitrary<BackendKind> kinds = Arbitraries.of(BackendKind.class);
    Arbitrary<Boolean> flags = Arbitraries.of(true, false);
    Arbitrary<String> hashes = Arbitraries.strings().withChars("0123456789abcdef").ofLength(64);
    return Arbitraries.oneOf(
        Combinators.combine(
                Arbitraries.integers().between(0, 9).optional(1 - absent), flags.optional(0.5))
            .as(Attributes.OfClass::new),
        Combinators.combine(
                names().map(PriorityClassName::new).optional(1 - absent),
                counts.optional(1 - absent),
                hashes.list().ofMinSize(required ? 1 : 0).ofMaxSize(3))
            .as(Attributes.OfAccount::new),
        Combinators.combine(
                texts().map(text -> "/" + text.substring(1)).optional(1 - absent),
                texts().optional(0.5),
                names().map(PoolName::new).optional(1 - absent),
                kinds.optional(1 - absent),
                flags.optional(1 - absent),
                Arbitraries.longs()
                    .between(1, 86_400_000)
                    .map(Duration::ofMillis)
                    .optional(1 - absent))
            .as(Attributes.OfRoute::new),
        names().map(RegionName::new).optional(1 - absent).map(Attributes.OfDomain::new),
        Combinators.combine(
                names().map(PoolName::new).optional(1 - absent),
                names().map(FailureDomainName::new).optional(1 - absent),
                kinds.optional(1 - absent),
                Combinators.combine(
                        Arbitraries.of("10.0.0.1", "2001:db8::1"),
                        Arbitraries.integers().between(1, 65_535))
                    .as(Address::new)
                    .optional(1 - absent),
                flags.optional(1 - absent),
                Combinators.combine(counts.optional(1 - absent), counts.optional(1 - absent))
                    .as(Limits::new),
                Arbitraries.longs().between(0, 1_000_000_000_000L).optional(0.5),
                texts().optional(0.5))
            .as(
                (pool, domain, kind, address, fencing, limits, memory, version) ->
                    new Attributes.OfServer(
                        pool,
                        domain,
                        kind,
                        address,
                        fencing,
                        limits.cold,
                        limits.warm,
                        memory,
                        version)));
  }

  private static boolean specifiesAttributes(Command.Change command) {
    return !CommandPrinter.print(command).endsWith(CommandPrinter.object(command.key()));
  }

  @Provide
  Arbitrary<Command> commands() {
    Arbitrary<BackendServerName> servers = names().map(BackendServerName::new);
    Arbitrary<ObjectKey> keys =
        // A roll-out is not removed.
        Combinators.combine(
                Arbitraries.of(ObjectKind.class).filter(kind -> kind != ObjectKind.POOL_ROLLOUT),
                names())
            .as(ObjectKey::new);
    Arbitrary<PoolName> pools = names().map(PoolName::new);
    Arbitrary<Duration> durations =
        Arbitraries.longs().between(1, 86_400_000).map(Duration::ofMillis);
    Arbitrary<ObjectKey> serviceKeys =
        Combinators.combine(
                Arbitraries.of(ObjectKind.FAILURE_DOMAIN, ObjectKind.BACKEND_SERVER), names())
            .as(ObjectKey::new);
    Arbitrary<Command.Condition> conditions =
        Combinators.combine(Arbitraries.of(Command.Field.class), names())
            .as(Command.Condition::new);
    return Arbitraries.oneOf(
        conditions.list().ofMaxSize(4).map(Command.ShowRequests::new),
        Arbitraries.of(Command.Listing.class).map(Command.Show::new),
        names().map(Command.ShowCommand::new),
        Combinators.combine(names(), attributes(true)).as(Command.Create::new),
        Combinators.combine(revisions(), names(), attributes(false))
            .as(Command.Change::new)
            .filter(CommandPropertiesTest::specifiesAttributes),
        Combinators.combine(revisions(), keys).as(Command.Remove::new),
        Combinators.combine(revisions(), serviceKeys, Arbitraries.of(ServiceState.class))
            .as(Command.SetService::new),
        Combinators.combine(revisions(), pools, texts(), durations).as(Command.Roll::new),
        Combinators.combine(revisions(), Arbitraries.of(Command.RolloutChange.class), pools)
            .as(Command.ChangeRollout::new),
        Combinators.combine(Arbitraries.of(Command.Artifact.class), texts(), servers)
            .as(Command.Load::new),
        Combinators.combine(servers, texts()).as(Command.ChangeRole::new));
  }

  @Property(seed = "20260102", tries = 10_000, edgeCases = EdgeCasesMode.NONE)
  void a_printed_command_is_read_as_the_same_command(@ForAll("commands") Command command) {
    assertThat(CommandParser.parse(CommandPrinter.print(command)), is(Either.right(command)));
  }

  @Provide
  Arbitrary<String> hostileTexts() {
    Arbitrary<String> pieces =
        Arbitraries.oneOf(Arbitraries.of(PIECES), Arbitraries.strings().ofMaxLength(8))
            .list()
            .ofMaxSize(12)
            .map(list -> String.join(" ", list));
    return Arbitraries.oneOf(pieces, Arbitraries.strings().ofMaxLength(400));
  }

  @Property(seed = "20260103", tries = 20_000)
  void hostile_text_results_in_a_command_or_an_error_with_a_position(
      @ForAll("hostileTexts") String text) {
    CommandParser.parse(text)
        .peekLeft(error -> assertThat(error.line() * error.column(), greaterThan(0)))
        .peekLeft(error -> assertThat(error.message().lines().count(), is(1L)));
  }

  @Property(seed = "20260104", tries = 10_000, edgeCases = EdgeCasesMode.NONE)
  void a_truncated_or_altered_command_never_throws(
      @ForAll("commands") Command command, @ForAll int position, @ForAll char replacement) {
    StringBuilder text = new StringBuilder(CommandPrinter.print(command));
    int index = Math.floorMod(position, text.length());
    text.setCharAt(index, replacement);
    CommandParser.parse(text.toString())
        .peekLeft(error -> assertThat(error.line() * error.column(), greaterThan(0)));
    CommandParser.parse(text.substring(0, index));
  }
}
