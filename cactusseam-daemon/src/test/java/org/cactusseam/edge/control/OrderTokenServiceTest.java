package org.cactusseam.edge.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.cactusseam.logic.control.Membership;
import org.cactusseam.logic.membership.MembershipSettings;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.MemberState;
import org.cactusseam.model.message.PeerMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against two daemons that hold the token bucket of the weight store at once. */
class OrderTokenServiceTest {

  private static final MembershipSettings TIMES = MembershipSettings.DEFAULT;
  private static final Duration INTERVAL = Duration.ofSeconds(3);
  private static final NodeName ASKER = new NodeName("asker");
  private static final NodeName OST = new NodeName("entry-1");

  private final PausedClock clock = new PausedClock();
  private final List<PeerMessage> sent = new ArrayList<>();
  private final List<NodeName> receivers = new ArrayList<>();
  private final OrderTokenService tokens = tokens(INTERVAL);

  private OrderTokenService tokens(Duration interval) {
    return new OrderTokenService(clock, OST, TIMES, interval, this::send);
  }

  private void send(NodeName node, PeerMessage message) {
    receivers.add(node);
    sent.add(message);
  }

  private static Membership members(String... regions) {
    return new Membership(
        Stream.iterate(1, number -> number + 1)
            .limit(regions.length)
            .map(number -> entry("entry-" + number, regions[number - 1], number))
            .toList());
  }

  private static Membership.Entry entry(String node, String region, long joinedAt) {
    Member member =
        new Member(
            new NodeName(node),
            "b1",
            "127.0.0.1",
            21_301,
            new FailureDomainName(region + "-a"),
            new RegionName(region));
    return new Membership.Entry(member, joinedAt, MemberState.ACTIVE);
  }

  /** Lets time pass in steps, with or without reading the log, and returns what was sent. */
  private List<PeerMessage> pass(Duration duration, boolean reading) {
    return pass(tokens, duration, reading);
  }

  private List<PeerMessage> pass(OrderTokenService tokens, Duration duration, boolean reading) {
    sent.clear();
    Instant end = clock.instant().plus(duration);
    while (clock.instant().isBefore(end)) {
      clock.advance(50);
      if (reading) {
        tokens.logRead(clock.instant());
      }
      tokens.asked(ASKER, 17);
      tokens.tick();
    }
    return List.copyOf(sent);
  }

  @Test
  void a_new_holder_grants_nothing_until_the_lease_of_its_predecessor_is_over() {
    tokens.applied(members("ost", "west"));

    assertThat(pass(TIMES.takeoverWait(), true), empty());
    assertThat(pass(INTERVAL.plusMillis(100), true), is(List.of(new PeerMessage.OrderToken(17))));
    assertThat(receivers, is(List.of(ASKER)));
  }

  @Test
  void the_rate_stays_below_one_token_for_each_interval() {
    tokens.applied(members("ost"));
    pass(TIMES.takeoverWait(), true);

    assertThat(pass(INTERVAL.multipliedBy(5), true).size(), is(5));
  }

  /** The setting of the holder counts; an interval of a former holder must not shorten it. */
  @ParameterizedTest(name = "interval {0} ms")
  @ValueSource(longs = {100, 1_000, 20_000})
  void the_interval_of_the_settings_is_kept_from_the_takeover_on(long millis) {
    Duration interval = Duration.ofMillis(millis);
    OrderTokenService holder = tokens(interval);
    holder.applied(members("ost"));
    pass(holder, TIMES.takeoverWait(), true);

    assertThat(pass(holder, interval.minusMillis(50), true), empty());
    assertThat(pass(holder, interval.multipliedBy(4), true).size(), is(4));
  }

  @Test
  void a_holder_that_cannot_read_the_log_stops_when_its_lease_is_over() {
    tokens.applied(members("ost"));
    pass(TIMES.takeoverWait(), true);
    pass(TIMES.lease(), false);

    assertThat(pass(INTERVAL.multipliedBy(3), false), empty());
  }

  @Test
  void a_daemon_of_another_region_asks_the_holder_and_grants_nothing() {
    tokens.applied(members("west", "ost"));

    assertThat(pass(Duration.ofSeconds(30), true), empty());
    tokens.ask(17);
    assertThat(sent, is(List.of(new PeerMessage.AskOrderToken(17))));
    assertThat(receivers, is(List.of(new NodeName("entry-2"))));
  }
}
