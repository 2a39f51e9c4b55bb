package org.cactusseam.logic.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.PeerStatus;
import org.cactusseam.model.control.RunId;
import org.cactusseam.model.control.ShardOwner;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against leases that stay valid for longer than the reads of the log, answers and observed
 * ends of members that justify them; two owners could then grant at the same time. The steps run on
 * the owner of a shard in a region with two other members; {@code +N} advances the clock by N ms
 * with ticks.
 */
class LeaseTest {

  private static final List<String> OTHERS = List.of("n2", "n3");
  private static final FailureDomainName DOMAIN = new FailureDomainName("east-1");
  private static final RegionName REGION = new RegionName("east");
  private static final int SERVERS = 160;

  private final ControlState state = new ControlState();
  private final Map<NodeName, Long> pings = new HashMap<>();
  private long nowMillis = 1_000_000;
  private final MembershipCoordinator coordinator =
      new MembershipCoordinator(
          member("n1"), MembershipSettings.DEFAULT, new SkewedClock(() -> nowMillis, 0, 1));

  private static Member member(String name) {
    return new Member(new NodeName(name), "b1", "127.0.0.1", 1, DOMAIN, REGION);
  }

  private void apply(ControlRecord record) {
    state.apply(state.nextOffset(), record);
  }

  private void put(ConfigurationObject object) {
    String command = "c" + state.nextOffset();
    apply(new ControlRecord.Change(command, object.key(), -1, Optional.of(object), "test"));
  }

  private ShardId ownedShard() {
    put(new FailureDomain(DOMAIN, REGION, ServiceState.IN));
    PoolName pool = new PoolName("pool");
    for (int number = 0; number < SERVERS; number++) {
      BackendServerName name = new BackendServerName("s" + number);
      BackendKind kind = BackendKind.ENGINE;
      put(
          new BackendServer(
              name, pool, DOMAIN, kind, "127.0.0.1", 1, true, 1, 2, 0, ServiceState.IN));
    }
    apply(new ControlRecord.Join(member("n1")));
    for (String other : OTHERS) {
      apply(new ControlRecord.Join(member(other)));
      apply(new ControlRecord.Activate(new NodeName(other), "b1"));
    }
    return state.owners().owners().keySet().stream()
        .filter(shard -> isOwn(state.owners().of(shard)))
        .findFirst()
        .orElseThrow();
  }

  private static boolean isOwn(Optional<ShardOwner> owner) {
    return owner.map(found -> found.run().equals(RunId.of(member("n1")))).orElse(false);
  }

  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({
    "read +4400 read, false",
    "read +4600 read, true",
    "+4600, false",
    "+4600 read +2900, true",
    "+4600 read +3000, false",
    "+4600 pong, true",
    "+4600 pong +2400, true",
    "+4600 pong +3100, false",
    "+4600 pong-ahead, false",
    "+4600 pong-late, false",
    "+4600 relay +1000, true",
    "+4600 relay +2100, false",
    "+4600 relay-ahead, false",
    "+4600 refused, true",
    "+4600 refused-before-join, false",
    "+4600 later-boot, true",
    "+4600 earlier-boot, false",
    "+4600 missing +29900 missing, false",
    "+4600 missing +30000 missing, true",
    "+4600 missing +20000 shown missing +20000 missing, false",
    "+4600 read leave, false"
  })
  void a_lease_is_valid_only_while_the_log_or_all_members_confirm_it(
      String steps, boolean expected) {
    ShardId shard = ownedShard();
    coordinator.onStateApplied(state);
    for (String step : steps.split(" ")) {
      perform(step);
    }

    assertThat(coordinator.mayGrant(shard), is(expected));
  }

  @Test
  void a_node_does_not_expel_members_for_answers_that_it_missed_while_it_was_paused() {
    ownedShard();
    coordinator.onStateApplied(state);
    advance(1_000);
    perform("pong");
    nowMillis += 2_500;
    perform("read");

    coordinator.tick();

    assertThat(
        coordinator.drain().stream().anyMatch(MembershipAction.Append.class::isInstance),
        is(false));
  }

  private void perform(String step) {
    if (step.startsWith("+")) {
      advance(Long.parseLong(step.substring(1)));
      return;
    }
    Instant now = Instant.ofEpochMilli(nowMillis);
    switch (step) {
      case "read" -> coordinator.onLogRead(now, true);
      case "leave" -> coordinator.leave();
      case "pong" -> OTHERS.forEach(node -> pong(node, 0, OptionalLong.empty()));
      case "pong-ahead" -> OTHERS.forEach(node -> pong(node, 1, OptionalLong.empty()));
      case "pong-late" -> lateAnswers();
      case "relay" -> pong("n2", 0, OptionalLong.of(1000));
      case "relay-ahead" -> pong("n2", 1, OptionalLong.of(1000));
      case "refused" ->
          OTHERS.forEach(node -> coordinator.onConnectionRefused(new NodeName(node), now));
      case "refused-before-join" ->
          OTHERS.forEach(
              node -> coordinator.onConnectionRefused(new NodeName(node), now.minusSeconds(5)));
      case "later-boot" -> OTHERS.forEach(node -> coordinator.onBootIdSeen(run(node, "b2")));
      case "earlier-boot" -> OTHERS.forEach(node -> coordinator.onBootIdSeen(run(node, "b0")));
      case "missing" -> coordinator.onVmListRead(Set.of(new NodeName("n1")), now);
      case "shown" -> coordinator.onVmListRead(Set.of(new NodeName("n2"), new NodeName("n3")), now);
      default -> throw new IllegalArgumentException(step);
    }
  }

  private static RunId run(String node, String boot) {
    return new RunId(new NodeName(node), boot);
  }

  /** Answers pings that were sent longer ago than the lease duration. */
  private void lateAnswers() {
    Map<NodeName, Long> early = Map.copyOf(pings);
    advance(3_500);
    pings.putAll(early);
    perform("pong");
  }

  private void pong(String node, long ahead, OptionalLong logAge) {
    long next = state.nextOffset() + ahead;
    PeerStatus status = new PeerStatus(run(node, "b1"), next, logAge, true, false);
    coordinator.onPong(pings.get(new NodeName(node)), status);
  }

  private void advance(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; ) {
      nowMillis += 100;
      coordinator.tick();
      for (MembershipAction action : coordinator.drain()) {
        if (action instanceof MembershipAction.SendPing ping) {
          pings.put(ping.to().node(), ping.sequence());
        }
      }
    }
  }
}
