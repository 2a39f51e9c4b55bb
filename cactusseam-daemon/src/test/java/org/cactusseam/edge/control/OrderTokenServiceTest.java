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

/**
 * Guards against two daemons that hold the token bucket of the weight store at once, after a
 * takeover or while the control log cannot be read, and against more tokens than the interval
 * allows.
 */
class OrderTokenServiceTest {

  private static final MembershipSettings MEMBERSHIP_SETTINGS = MembershipSettings.DEFAULT;
  private static final Duration INTERVAL = Duration.ofSeconds(3);
  private static final NodeName REQUESTER = new NodeName("asker");
  private static final NodeName SELF = new NodeName("entry-1");

  private final PausedClock clock = new PausedClock();
  private final List<PeerMessage> sent = new ArrayList<>();
  private final List<NodeName> receivers = new ArrayList<>();
  private final OrderTokenService tokens = tokens(INTERVAL);

  private OrderTokenService tokens(Duration interval) {
    return new OrderTokenService(clock, SELF, MEMBERSHIP_SETTINGS, interval, this::send);
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

  /**
   * Advances the clock in steps of 50 ms with a token request and a tick in each, with or without
   * reads of the log, and returns the messages that were sent.
   */
  private List<PeerMessage> advance(Duration duration, boolean logReadable) {
    return advance(tokens, duration, logReadable);
  }

  private List<PeerMessage> advance(
      OrderTokenService tokens, Duration duration, boolean logReadable) {
    sent.clear();
    Instant end = clock.instant().plus(duration);
    while (clock.instant().isBefore(end)) {
      clock.advance(50);
      if (logReadable) {
        tokens.onLogRead(clock.instant());
      }
      tokens.onTokenRequest(REQUESTER, 17);
      tokens.tick();
    }
    return List.copyOf(sent);
  }

  @Test
  void a_new_holder_grants_nothing_until_the_lease_of_its_predecessor_is_over() {
    tokens.onMembershipApplied(members("ost", "west"));

    assertThat(advance(MEMBERSHIP_SETTINGS.takeoverWait(), true), empty());
    assertThat(
        advance(INTERVAL.plusMillis(100), true), is(List.of(new PeerMessage.OrderToken(17))));
    assertThat(receivers, is(List.of(REQUESTER)));
  }

  @Test
  void no_more_than_one_token_is_granted_per_interval() {
    tokens.onMembershipApplied(members("ost"));
    advance(MEMBERSHIP_SETTINGS.takeoverWait(), true);

    assertThat(advance(INTERVAL.multipliedBy(5), true).size(), is(5));
  }

  /**
   * The interval in the settings of the holder applies; that of a previous holder must not shorten
   * it.
   */
  @ParameterizedTest(name = "interval {0} ms")
  @ValueSource(longs = {100, 1_000, 20_000})
  void the_configured_interval_is_kept_from_the_takeover_on(long millis) {
    Duration interval = Duration.ofMillis(millis);
    OrderTokenService holder = tokens(interval);
    holder.onMembershipApplied(members("ost"));
    advance(holder, MEMBERSHIP_SETTINGS.takeoverWait(), true);

    assertThat(advance(holder, interval.minusMillis(50), true), empty());
    assertThat(advance(holder, interval.multipliedBy(4), true).size(), is(4));
  }

  @Test
  void a_holder_that_cannot_read_the_log_stops_when_its_lease_is_over() {
    tokens.onMembershipApplied(members("ost"));
    advance(MEMBERSHIP_SETTINGS.takeoverWait(), true);
    advance(MEMBERSHIP_SETTINGS.lease(), false);

    assertThat(advance(INTERVAL.multipliedBy(3), false), empty());
  }

  @Test
  void a_daemon_in_another_region_requests_tokens_from_the_holder_and_grants_none() {
    tokens.onMembershipApplied(members("west", "ost"));

    assertThat(advance(Duration.ofSeconds(30), true), empty());
    tokens.requestToken(17);
    assertThat(sent, is(List.of(new PeerMessage.AskOrderToken(17))));
    assertThat(receivers, is(List.of(new NodeName("entry-2"))));
  }
}
