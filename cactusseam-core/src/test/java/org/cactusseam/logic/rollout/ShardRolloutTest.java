package org.cactusseam.logic.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.message.ShardRolloutReport;
import org.cactusseam.model.message.ShardRolloutReport.ResponseTotals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates the owners of the shards of one pool during a roll-out, each with its own requests.
 * Guards against requests to a bad version beyond the bound of the owner, or after its verdict.
 */
class ShardRolloutTest {

  private static final PoolName POOL = new PoolName("app");
  private static final long START = 1_000_000;
  private static final long DURATION = 30_000;
  private static final int OLD_MILLIS = 20;

  private final List<ShardId> shards = new ArrayList<>();
  private final List<ShardRollout> owners = new ArrayList<>();
  private Configuration configuration = Configuration.EMPTY;
  private Instant now = Instant.ofEpochMilli(START);

  /** Adds regions with one shard each, which have three servers of v1 and two of v2. */
  private void createShards(int count) {
    for (int region = 0; region < count; region++) {
      String name = "r" + region;
      FailureDomainName domain = new FailureDomainName(name);
      configuration =
          configuration.with(
              new FailureDomain(domain, new RegionName(name), ServiceState.IN), region);
      for (int number = 0; number < 5; number++) {
        String version = number < 3 ? "v1" : "v2";
        configuration =
            configuration.with(server(name + "-" + number, domain, version), 10 + number);
      }
      shards.add(new ShardId(POOL, new RegionName(name), 0));
      owners.add(new ShardRollout(shards.getLast()));
    }
  }

  private static BackendServer server(String name, FailureDomainName domain, String version) {
    return new BackendServer(
        new BackendServerName(name),
        POOL,
        domain,
        BackendKind.PLAIN,
        "127.0.0.1",
        1,
        false,
        1,
        2,
        0,
        ServiceState.IN,
        version);
  }

  private static PoolRollout ordered() {
    return new PoolRollout(
            POOL, "v2", List.of("v1"), DURATION, PoolRollout.NOT_RECORDED, 0, false, "canary", "")
        .recorded(50, START);
  }

  private void configureOwners() {
    owners.forEach(owner -> owner.configure(configuration));
  }

  private void record(PoolRollout rollout) {
    configuration = configuration.with(rollout, 60 + now.toEpochMilli() - START);
    configureOwners();
  }

  private BackendServer pick(ShardRollout owner, ShardId shard, int number) {
    String region = shard.region().value();
    BackendServer latest = find(region + "-" + (3 + number % 2));
    boolean isAllowed = owner.permits("v2") && owner.hasCapacity("v2", now.toEpochMilli());
    return isAllowed ? latest : find(region + "-" + number % 3);
  }

  private BackendServer find(String name) {
    return configuration.server(new BackendServerName(name)).orElseThrow();
  }

  @ParameterizedTest(name = "{0} shards, {1}/s, failures {2}, slow {3} from {4} s: {5}")
  @CsvSource({
    "1, 100, 0,   1,  0,  completed",
    "3, 50,  0,   1,  0,  completed",
    "1, 100, 0.5, 1,  0,  reverted",
    "1, 40,  0.3, 1,  0,  reverted",
    "3, 50,  0.5, 1,  0,  reverted",
    "10, 30, 0.8, 1,  0,  reverted",
    "1, 100, 0,   10, 0,  reverted",
    "1, 100, 0.8, 1,  15, reverted",
    "3, 100, 1,   1,  24, reverted"
  })
  void a_version_reaches_its_stage_within_the_bound_of_each_owner(
      int count, int perSecond, double failures, int slowFactor, int badFrom, String expected) {
    createShards(count);
    configureOwners();
    record(ordered());
    Random random = new Random(count * 100L + perSecond);
    long[] requests = new long[count];
    long[] sent = new long[count];
    boolean[] bad = new boolean[count];

    for (int step = 0; step < DURATION / 1_000 * perSecond; step++) {
      now = Instant.ofEpochMilli(START + step * 1_000L / perSecond);
      boolean isBad = step / perSecond >= badFrom;
      for (int index = 0; index < count; index++) {
        ShardRollout owner = owners.get(index);
        if (isFinal()) {
          assertThat(owner.permits("v2"), is(expected.equals("completed")));
          continue;
        }
        BackendServer server = pick(owner, shards.get(index), step);
        boolean isNew = server.version().equals("v2");
        assertThat("sent after the verdict", isNew && bad[index], is(false));
        requests[index]++;
        sent[index] += isNew ? 1 : 0;
        owner.recordGrant(server.version(), false);
        boolean failed = isNew && isBad && random.nextDouble() < failures;
        int millis = OLD_MILLIS + random.nextInt(OLD_MILLIS);
        owner.recordResponse(
            attempt(step),
            server.name(),
            "catalogue",
            failed,
            Duration.ofMillis(isNew && isBad ? millis * (long) slowFactor : millis));
        bad[index] |= owner.tick(now);
        assertThat((double) sent[index], lessThanOrEqualTo(0.1 * requests[index] + 50.0 / count));
      }
      decide();
    }

    assertThat(configuration.rollout(POOL).orElseThrow().stage(), is(expected));
    assertThat(sent[0], greaterThan(0L));
  }

  private boolean isFinal() {
    return PoolRolloutPlan.stage(configuration.rollout(POOL).orElseThrow()).isFinal();
  }

  private void decide() {
    List<ShardRolloutReport> reports =
        owners.stream().flatMap(owner -> owner.report().stream()).toList();
    PoolRolloutPlan.next(
            configuration.rollout(POOL).orElseThrow(),
            PoolRolloutPlan.combine(reports),
            List.of(),
            now)
        .ifPresent(this::record);
  }

  private static PermitRequestId attempt(long number) {
    return new PermitRequestId(new NodeName("entry-1"), "b1", number);
  }

  /**
   * Guards against a good verdict for a version that does not answer a part of its requests, also
   * when callers give up before the deadlines of their requests.
   */
  @ParameterizedTest
  @CsvSource({"0, GOOD", "2, UNDECIDED", "4, BAD"})
  void a_version_that_hangs_for_a_part_of_its_requests_is_not_found_good(
      int hangingOfTen, ShardRolloutReport.Verdict expected) {
    createShards(1);
    configureOwners();
    record(ordered());
    ShardRollout owner = owners.getFirst();
    List<Integer> hanging = new ArrayList<>();

    for (int step = 0; step < 1_000; step++) {
      now = Instant.ofEpochMilli(START + step * 10L);
      boolean isNew = step % 10 == 0;
      if (isNew && step / 10 % 10 < hangingOfTen) {
        hanging.add(step);
      } else {
        BackendServerName name = new BackendServerName("r0-" + (isNew ? 3 + step / 10 % 2 : 0));
        owner.recordResponse(attempt(step), name, "r", false, Duration.ofMillis(OLD_MILLIS));
      }
      // Callers give up after 4 s.
      int first = step - 400;
      hanging.stream()
          .filter(sent -> sent > first)
          .forEach(
              sent ->
                  owner.recordUnanswered(
                      attempt(sent),
                      new BackendServerName("r0-" + (3 + sent / 10 % 2)),
                      "r",
                      Duration.between(Instant.ofEpochMilli(START + sent * 10L), now)));
      owner.tick(now);
    }

    assertThat(owner.report().orElseThrow().verdict(), is(expected));
    assertThat(
        owner.report().orElseThrow().latest().slow(), lessThanOrEqualTo((long) hanging.size()));
  }

  /** Guards against late first tokens of both versions that count twice, or before their time. */
  @Test
  void a_late_response_is_counted_once() {
    createShards(1);
    configureOwners();
    record(ordered());
    ShardRollout owner = owners.getFirst();
    for (int number = 0; number < 50; number++) {
      owner.recordResponse(
          attempt(number),
          new BackendServerName("r0-0"),
          "r",
          false,
          Duration.ofMillis(OLD_MILLIS));
    }
    owner.tick(now);
    BackendServerName latest = new BackendServerName("r0-3");

    owner.recordUnanswered(attempt(100), latest, "r", Duration.ofMillis(1_900));
    owner.recordUnanswered(attempt(101), latest, "r", Duration.ofMillis(2_500));
    owner.recordUnanswered(attempt(101), latest, "r", Duration.ofMillis(2_600));
    owner.recordResponse(attempt(101), latest, "r", false, Duration.ofMillis(3_000));
    owner.tick(now.plusSeconds(1));

    assertThat(owner.report().orElseThrow().latest(), is(new ResponseTotals(1, 0, 1)));
  }

  /** The log cannot record the revert, as during its outage. */
  @Test
  void an_owner_that_knows_a_bad_verdict_sends_nothing_to_the_version_before_it_is_recorded() {
    createShards(2);
    configureOwners();
    record(ordered());
    for (int number = 0; number < 20; number++) {
      owners
          .getFirst()
          .recordResponse(
              attempt(number),
              new BackendServerName("r0-" + (3 + number % 2)),
              "r",
              true,
              Duration.ZERO);
    }

    assertThat(owners.getFirst().permits("v2"), is(true));
    assertThat(owners.getFirst().tick(now), is(true));

    assertThat(owners.getFirst().permits("v2"), is(false));
    assertThat(owners.getFirst().permits("v1"), is(true));
    assertThat(owners.getLast().permits("v2"), is(true));
    assertThat(
        owners.getFirst().report().orElseThrow().verdict(), is(ShardRolloutReport.Verdict.BAD));
  }

  /**
   * Guards against requests to a version that another owner, or the former owner of the shard, has
   * found bad while the log cannot record the revert.
   */
  @ParameterizedTest
  @CsvSource({"50, false, BAD", "49, true, UNDECIDED"})
  void an_owner_stops_at_the_bad_verdict_of_another_one(
      long order, boolean isServed, ShardRolloutReport.Verdict expected) {
    createShards(1);
    configureOwners();
    record(ordered());
    ShardRollout owner = owners.getFirst();
    owner.tick(now);

    owner.recordBadVerdict(order, new VersionTest.Verdict(VersionTest.Kind.BAD, "shard 2: slow"));

    assertThat(owner.tick(now), is(!isServed));
    assertThat(owner.tick(now), is(false));
    assertThat(owner.permits("v2"), is(isServed));
    assertThat(owner.report().orElseThrow().verdict(), is(expected));
  }

  /** Guards against an allowance that is used again after each takeover of a shard. */
  @Test
  void an_owner_that_takes_over_during_the_roll_out_has_the_share_without_the_allowance() {
    createShards(1);
    record(ordered());
    ShardRollout owner = owners.getFirst();

    assertThat(owner.hasCapacity("v2", now.toEpochMilli()), is(false));
    for (int number = 0; number < 200; number++) {
      owner.recordGrant("v1", false);
    }

    assertThat(owner.hasCapacity("v2", now.toEpochMilli()), is(true));
    assertThat(owner.report().orElseThrow().order(), is(50L));
  }

  @ParameterizedTest
  @CsvSource({
    "canary,    false, true,  true",
    "canary,    true,  true,  false",
    "shifting,  false, true,  true",
    "shifting,  true,  true,  false",
    "completed, false, false, true",
    "reverted,  false, true,  false"
  })
  void a_stage_determines_which_versions_serve(
      String stage, boolean paused, boolean isOldServed, boolean isNewServed) {
    createShards(1);
    configureOwners();
    ShardRollout owner = owners.getFirst();
    assertThat(owner.permits("v1") && owner.permits("v2") && owner.permits("v3"), is(true));
    assertThat(owner.hasCapacity("v2", now.toEpochMilli()), is(true));

    record(ordered().withPaused(paused).withStage(stage, ""));

    assertThat(owner.permits("v1"), is(isOldServed));
    assertThat(owner.permits("v2"), is(isNewServed));
    assertThat(owner.permits("v3"), is(false));
  }
}
