package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cactusseam.model.gateway.ServerInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a stream that is taken up at a version that cannot have begun it. */
class VersionHistoryTest {

  private static final Duration WINDOW = Duration.ofSeconds(8);
  private static final Duration RETENTION = Duration.ofSeconds(16);

  private final VersionHistory history = new VersionHistory();

  /** Parses versions of servers, separated by spaces, in the order of their starts. */
  private static List<ServerInstance> servers(String text) {
    List<String> versions = split(text);
    return IntStream.range(0, versions.size())
        .mapToObj(
            number ->
                new ServerInstance(
                    "e-" + number,
                    number + 1,
                    "engines",
                    "127.0.0.1",
                    8_000,
                    "ost-wien",
                    24,
                    false,
                    Duration.ZERO,
                    versions.get(number)))
        .toList();
  }

  private static List<String> split(String text) {
    return text.isEmpty() ? List.of() : Arrays.asList(text.split(" ", -1));
  }

  private static Instant at(long seconds) {
    return Instant.EPOCH.plusSeconds(seconds);
  }

  /** Servers that are listed at 0 s and later, and the state some seconds after that. */
  @ParameterizedTest
  @CsvSource({
    "'v1 v1', 'v1', 1, v1, false",
    "'v1', 'v1 v2', 1, '', true",
    "'v1', 'v2', 7, '', true",
    "'v1', 'v2', 9, v2, true",
    "'v1', 'v2', 17, v2, false",
    "'v1', '', 9, '', false"
  })
  void a_stream_began_at_the_only_version_within_the_window(
      String first, String later, long seconds, String onlyVersion, boolean isMixed) {
    history.update(servers(first), RETENTION, at(0));
    history.update(servers(later), RETENTION, at(seconds));

    Optional<String> found = history.onlyVersion("engines", WINDOW, at(seconds));
    assertThat(found.orElse(""), is(onlyVersion));
    assertThat(history.isMixed("engines"), is(isMixed));
  }

  /** A process that has started finds servers of the newer version, of both, or of neither. */
  @ParameterizedTest
  @CsvSource({
    "'v2', 'v1 v2', 'v1 v2'",
    "'v2', 'v1', 'v1 v2'",
    "'v1 v2', 'v1', 'v1 v2'",
    "'v1 v2', 'v2', 'v2 v1'",
    "'', 'v1', 'v1'",
    "'v1', '', 'v1'"
  })
  void recorded_versions_are_older_than_those_that_a_new_process_finds(
      String listed, String recorded, String expected) {
    history.update(servers(listed), RETENTION, at(0));

    history.restore("engines", split(recorded), at(0));

    assertThat(history.versions("engines"), is(split(expected)));
  }

  /** Gateways that saw the versions in another order would not agree on the oldest one. */
  @ParameterizedTest
  @CsvSource({
    "'v1 v2', 'v2 v1', true, 'v2 v1'",
    "'v1 v2', 'v1 v2', false, 'v1 v2'",
    "'v1 v2', 'v2', false, 'v1 v2'",
    "'v1 v2', 'v2 v3', false, 'v1 v2'"
  })
  void the_recorded_order_of_the_same_versions_is_adopted(
      String listed, String recorded, boolean isAdopted, String expected) {
    history.update(servers(listed), RETENTION, at(0));

    assertThat(history.adoptOrder("engines", split(recorded)), is(isAdopted));
    assertThat(history.versions("engines"), is(split(expected)));
  }
}
