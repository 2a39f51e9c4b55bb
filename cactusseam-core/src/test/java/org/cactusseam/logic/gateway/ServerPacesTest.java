package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.logic.gateway.ServerPaces.AgedPace;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.gateway.ServerPace;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against servers that seem slow or fast because of old or untrue statements. */
class ServerPacesTest {

  private final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final ServerPaces paces = new ServerPaces();

  private void state(int percent) {
    paces.recordStatement("s-1", new ServerPace(percent), clock.instant());
  }

  private double factor() {
    return paces.factor("s-1", "lookup", clock.instant());
  }

  private void measure(String server, String route, int millis, int stated) {
    paces.recordDuration(
        server,
        new ServerPaces.Work(route, true),
        Duration.ofMillis(millis),
        Optional.of(new ServerPace(stated)),
        clock.instant());
  }

  private void measureSlowLookups() {
    for (int request = 0; request < 50; request++) {
      for (int other = 2; other < 12; other++) {
        measure("s-" + other, "lookup", 100, 100);
        measure("s-" + other, "booking", 40, 100);
      }
      measure("s-1", "lookup", 250, 100);
      measure("s-1", "booking", 40, 100);
    }
  }

  /** Guards against a statement that draws or repels all requests whatever the load. */
  @ParameterizedTest(name = "{0} percent: factor {1}")
  @CsvSource({"100, 1", "250, 2.5", "80, 0.8", "1, 0.5", "100000, 10"})
  void the_newest_statement_counts_within_bounds(int percent, double factor) {
    state(percent);

    assertThat(factor(), closeTo(factor, 0.001));
  }

  /** Guards against a server that is avoided for ever, because nothing corrects its statement. */
  @Test
  void a_server_that_is_silent_for_long_counts_as_usual() {
    for (int statement = 0; statement < 100; statement++) {
      state(250);
      clock.advance(100);
    }
    assertThat(factor(), greaterThan(2.0));

    clock.advance(30_000);
    assertThat(factor(), closeTo(1, 0.01));
  }

  /** Guards against a server that is slow permanently and is tried after each silence. */
  @Test
  void a_server_that_was_always_slow_is_still_slow_a_second_later() {
    for (int statement = 0; statement < 20; statement++) {
      state(250);
      clock.advance(1_000);
    }

    assertThat(factor(), greaterThan(1.8));
  }

  @Test
  void a_single_slow_statement_is_forgotten_soon() {
    for (int statement = 0; statement < 100; statement++) {
      state(100);
      clock.advance(100);
    }
    state(250);
    clock.advance(1_200);

    assertThat(factor(), lessThan(1.15));
  }

  /** Guards against a late message of a peer that replaces a newer statement. */
  @ParameterizedTest(name = "{0} ms old: factor {1}")
  @CsvSource({"0, 2.5", "50, 2.5", "150, 1"})
  void the_newer_statement_counts_whoever_received_it(int ageMillis, double factor) {
    state(100);
    clock.advance(100);
    paces.recordPeerStatements(
        Map.of("s-1", new AgedPace(new ServerPace(250), ageMillis)), clock.instant());

    assertThat(factor(), closeTo(factor, 0.25));
  }

  /** Guards against statements that circulate between VMs and never get old. */
  @Test
  void only_recent_statements_to_this_vm_are_sent() {
    paces.recordPeerStatements(
        Map.of("s-2", new AgedPace(new ServerPace(250), 0)), clock.instant());
    state(130);
    clock.advance(700);
    assertThat(
        paces.ownStatements(clock.instant()),
        is(Map.of("s-1", new AgedPace(new ServerPace(130), 700))));

    clock.advance(1_000);
    assertThat(paces.ownStatements(clock.instant()), is(Map.of()));
  }

  @ParameterizedTest(name = "states {0}, takes {1} ms of usually 100: factor {2}")
  @CsvSource({"100, 250, 2.5", "250, 100, 1", "250, 250, 2.5", "100, 120, 1", "100, 100, 1"})
  void measured_durations_replace_an_untrue_statement(int stated, int millis, double factor) {
    for (int request = 0; request < 50; request++) {
      for (int other = 2; other < 12; other++) {
        measure("s-" + other, "lookup", 100, 100);
      }
      measure("s-1", "lookup", millis, stated);
    }
    state(stated);

    assertThat(factor(), closeTo(factor, 0.3));
  }

  @Test
  void a_server_that_is_slow_for_one_route_is_slow_for_that_route_only() {
    measureSlowLookups();

    assertThat(factor(), closeTo(2.5, 0.3));
    assertThat(paces.factor("s-1", "booking", clock.instant()), closeTo(1, 0.01));
  }

  /** Guards against measurements that exclude a server for ever, because it gets no requests. */
  @Test
  void a_server_that_was_measured_as_slow_is_tried_again() {
    measureSlowLookups();
    assertThat(factor(), greaterThan(2.0));
    clock.advance(60_000);

    assertThat(factor(), closeTo(1, 0.05));
  }

  @Test
  void a_restarted_or_unlisted_server_is_forgotten() {
    state(250);
    paces.reset("s-1", clock.instant());
    assertThat(paces.hasStatement("s-1"), is(false));

    state(250);
    paces.retain(id -> false);
    assertThat(paces.hasStatement("s-1"), is(false));
  }

  /** Guards against statements of the previous process that arrive through a peer. */
  @ParameterizedTest(name = "statement {0} ms old, reset 100 ms ago: counts {1}")
  @CsvSource({"150, false", "50, true"})
  void statements_from_before_a_reset_are_ignored(int ageMillis, boolean counts) {
    paces.reset("s-1", clock.instant());
    clock.advance(100);
    paces.recordPeerStatements(
        Map.of("s-1", new AgedPace(new ServerPace(250), ageMillis)), clock.instant());

    assertThat(paces.hasStatement("s-1"), is(counts));
  }

  /** Guards against a log line for each request of a server near the limit of a contradiction. */
  @Test
  void a_contradiction_near_its_limit_does_not_begin_again_and_again() {
    int changes = 0;
    for (int request = 0; request < 200; request++) {
      for (int other = 2; other < 12; other++) {
        measure("s-" + other, "lookup", 100, 100);
      }
      // The average of these is near 1.75 times the usual duration, which is the limit.
      if (measureChange(request % 2 == 0 ? 100 : 346)) {
        changes++;
      }
    }

    assertThat(changes, is(1));
  }

  private boolean measureChange(int millis) {
    return paces.recordDuration(
        "s-1",
        new ServerPaces.Work("lookup", true),
        Duration.ofMillis(millis),
        Optional.of(new ServerPace(100)),
        clock.instant());
  }

  /** Guards against a route that is configured again with the durations of its former work. */
  @Test
  void measurements_of_a_removed_route_are_removed() {
    measureSlowLookups();
    assertThat(paces.isContradicted("s-1", "lookup"), is(true));
    paces.retainRoutes("booking"::equals);
    assertThat(paces.isContradicted("s-1", "lookup"), is(false));

    // With the former usual duration, these would be 10 times as long as usual.
    for (int request = 0; request < 20; request++) {
      measure("s-2", "lookup", 1_000, 100);
    }
    assertThat(paces.isContradicted("s-2", "lookup"), is(false));
  }
}
