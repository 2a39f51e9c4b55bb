package org.cactusseam.logic.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.cactusseam.logic.idempotency.ClaimCoordinator.OffsetBatch;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.claim.ClaimBatch;
import org.cactusseam.model.claim.ClaimEntry;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.ClaimKey;
import org.cactusseam.model.claim.ClaimStatus;
import org.cactusseam.model.claim.StoredResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against errors in the individual steps of a claim; {@link ClaimFaultsTest} guards against
 * errors in their combinations under faults.
 */
class ClaimCoordinatorTest {

  private static final AccountName SHOP = new AccountName("shop");
  private static final Duration RETENTION = Duration.ofMinutes(40);

  private final PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
  private final ClaimSettings settings = ClaimSettings.of(RETENTION);
  private final ClaimCoordinator coordinator =
      new ClaimCoordinator(new NodeName("vm0"), "boot", settings, clock);
  private long offset;

  private String keyOfAge(Duration age) {
    long time = clock.instant().minus(age).toEpochMilli() << 16;
    return new UUID(time | 0x7001, 1L << 63).toString();
  }

  private ClaimId submit(String key) {
    return coordinator.submit(SHOP, key, "body", clock.instant().plusSeconds(30));
  }

  private void read(ClaimEntry... entries) {
    coordinator.recordsRead(
        0, List.of(new OffsetBatch(offset++, new ClaimBatch(List.of(entries)))));
  }

  private List<ClaimEntry> appended() {
    List<ClaimEntry> entries = new ArrayList<>();
    for (ClaimAction action : coordinator.drain()) {
      if (action instanceof ClaimAction.Append append) {
        entries.addAll(append.record().entries());
      }
    }
    return entries;
  }

  private Optional<ResultCode> refusal() {
    return coordinator.drain().stream()
        .filter(ClaimAction.Refuse.class::isInstance)
        .map(action -> ((ClaimAction.Refuse) action).refusal().code())
        .findFirst();
  }

  private ClaimId claimAndRead(String key) {
    ClaimId id = submit(key);
    appended().forEach(this::read);
    return id;
  }

  @ParameterizedTest(name = "age {0} s: {1}")
  @CsvSource({
    "0, NONE",
    "1199, NONE",
    "1201, IDEMPOTENCY_KEY_EXPIRED",
    "-299, NONE",
    "-301, IDEMPOTENCY_KEY_REQUIRED"
  })
  void only_keys_whose_claims_the_log_retains_are_accepted(long age, String expected) {
    submit(keyOfAge(Duration.ofSeconds(age)));

    assertThat(refusal().map(Enum::name).orElse("NONE"), is(expected));
  }

  @Test
  void a_waiting_claim_is_refused_when_the_log_fails_and_released_when_it_is_read() {
    ClaimId id = submit(keyOfAge(Duration.ZERO));
    List<ClaimEntry> claims = appended();

    coordinator.appendFailed(1);
    assertThat(refusal(), is(Optional.of(ResultCode.LOG_UNAVAILABLE)));
    clock.advance(Duration.ofSeconds(2));
    claims.forEach(this::read);

    assertThat(coordinator.tryStart(id), is(false));
    assertThat(appended(), contains(instanceOf(ClaimEntry.Released.class)));
  }

  @Test
  void a_claim_is_appended_again_after_its_append_timed_out() {
    submit(keyOfAge(Duration.ZERO));
    List<ClaimEntry> first = appended();
    clock.advance(Duration.ofSeconds(1));

    coordinator.appendTimedOut(1);

    assertThat(appended(), is(first));
  }

  @Test
  void a_claim_that_is_read_after_the_deadline_is_not_sent_but_released() {
    ClaimId id = submit(keyOfAge(Duration.ZERO));
    List<ClaimEntry> claims = appended();
    clock.advance(Duration.ofSeconds(30));

    claims.forEach(this::read);

    List<ClaimAction> actions = coordinator.drain();
    assertThat(actions.stream().noneMatch(ClaimAction.Dispatch.class::isInstance), is(true));
    assertThat(actions, hasSize(2));
    assertThat(coordinator.tryStart(id), is(false));
  }

  @ParameterizedTest(name = "paused for {0} ms: may send {1}")
  @CsvSource({"0, true", "999, true", "1000, false", "3600000, false"})
  void a_paused_daemon_loses_its_dispatch_lease(long millis, boolean allowed) {
    ClaimId id = claimAndRead(keyOfAge(Duration.ZERO));
    clock.advance(Duration.ofMillis(millis));

    assertThat(coordinator.tryStart(id), is(allowed));
    assertThat(coordinator.tryStart(id), is(false));
  }

  /**
   * Under load, the permit for an attempt that may be sent can arrive after its first dispatch
   * lease has expired.
   */
  @ParameterizedTest(name = "waits {0} ms in steps of {1} ms: may send {2}")
  @CsvSource({"8000, 500, true", "8000, 900, true", "8000, 1000, false", "30000, 500, false"})
  void a_running_daemon_may_send_until_the_deadline(long waits, long step, boolean allowed) {
    ClaimId id = claimAndRead(keyOfAge(Duration.ZERO));
    for (long waited = 0; waited < waits; waited += step) {
      clock.advance(Duration.ofMillis(step));
      coordinator.tick();
    }

    assertThat(coordinator.tryStart(id), is(allowed));
  }

  @Test
  void a_claim_of_an_earlier_process_has_an_unknown_outcome_until_its_completion_is_recorded() {
    ClaimKey key = ClaimKey.parse(SHOP, keyOfAge(Duration.ZERO)).orElseThrow();
    ClaimId earlier = new ClaimId(new NodeName("vm0"), "earlier", 1);
    read(new ClaimEntry.Claimed(key, earlier, "body"));

    submit(key.key().toString());
    assertThat(refusal(), is(Optional.of(ResultCode.OUTCOME_UNKNOWN)));
    read(new ClaimEntry.Finished(key, earlier));
    submit(key.key().toString());

    assertThat(refusal(), is(Optional.of(ResultCode.ALREADY_RAN)));
  }

  @ParameterizedTest(name = "other daemon reports {0}: {1}")
  @CsvSource({
    "InProgress, IN_PROGRESS",
    "Ran, ALREADY_RAN",
    "MayHaveRun, OUTCOME_UNKNOWN",
    "Unknown, OUTCOME_UNKNOWN",
    "silence, OUTCOME_UNKNOWN"
  })
  void the_status_reported_by_the_claiming_daemon_decides_the_response(
      String kind, ResultCode expected) {
    ClaimKey key = ClaimKey.parse(SHOP, keyOfAge(Duration.ZERO)).orElseThrow();
    ClaimId other = new ClaimId(new NodeName("vm1"), "boot", 1);
    read(new ClaimEntry.Claimed(key, other, "body"));
    ClaimId id = submit(key.key().toString());
    assertThat(coordinator.drain(), contains(instanceOf(ClaimAction.QueryClaim.class)));

    clock.advance(Duration.ofSeconds(1));
    switch (kind) {
      case "InProgress" -> coordinator.statusReceived(id, other, new ClaimStatus.InProgress());
      case "Ran" -> coordinator.statusReceived(id, other, new ClaimStatus.Ran());
      case "MayHaveRun" -> coordinator.statusReceived(id, other, new ClaimStatus.MayHaveRun());
      case "Unknown" -> coordinator.peerUnreachable(id, other);
      default -> coordinator.tick();
    }

    assertThat(refusal(), is(Optional.of(expected)));
    assertThat(coordinator.tryStart(id), is(false));
  }

  @Test
  void a_status_of_a_claim_that_no_longer_holds_the_key_is_ignored() {
    ClaimKey key = ClaimKey.parse(SHOP, keyOfAge(Duration.ZERO)).orElseThrow();
    ClaimId first = new ClaimId(new NodeName("vm1"), "boot", 1);
    ClaimId second = new ClaimId(new NodeName("vm2"), "boot", 1);
    read(new ClaimEntry.Claimed(key, first, "body"), new ClaimEntry.Claimed(key, second, "body"));
    ClaimId id = submit(key.key().toString());
    read(new ClaimEntry.Released(key, first));

    coordinator.statusReceived(id, first, new ClaimStatus.Ran());
    assertThat(refusal(), is(Optional.empty()));
    coordinator.statusReceived(id, second, new ClaimStatus.InProgress());

    assertThat(refusal(), is(Optional.of(ResultCode.IN_PROGRESS)));
  }

  @Test
  void a_request_that_waits_for_a_release_claims_the_key_afterwards() {
    ClaimKey key = ClaimKey.parse(SHOP, keyOfAge(Duration.ZERO)).orElseThrow();
    ClaimId other = new ClaimId(new NodeName("vm1"), "boot", 1);
    read(new ClaimEntry.Claimed(key, other, "body"));
    ClaimId id = submit(key.key().toString());
    coordinator.statusReceived(id, other, new ClaimStatus.NotRun());
    assertThat(coordinator.tryStart(id), is(false));

    read(new ClaimEntry.Released(key, other));
    appended().forEach(this::read);

    assertThat(coordinator.tryStart(id), is(true));
  }

  @Test
  void the_append_interval_grows_with_the_number_of_appending_daemons() {
    coordinator.setAppendingNodes(16);
    submit(keyOfAge(Duration.ofSeconds(1)));
    assertThat(appended(), hasSize(1));

    submit(keyOfAge(Duration.ofSeconds(2)));
    submit(keyOfAge(Duration.ofSeconds(3)));
    clock.advance(Duration.ofMillis(79));
    coordinator.tick();
    assertThat(appended(), is(empty()));
    clock.advance(Duration.ofMillis(1));
    coordinator.tick();

    assertThat(appended(), hasSize(2));
  }

  @Test
  void stored_responses_are_bounded_in_bytes_and_time() {
    byte[] large = new byte[6 << 20];
    List<ClaimId> ids = new ArrayList<>();
    List<String> keys = new ArrayList<>();
    for (int index = 0; index < 3; index++) {
      keys.add(keyOfAge(Duration.ofSeconds(index)));
      ids.add(claimAndRead(keys.get(index)));
      clock.advance(Duration.ofMillis(100));
      coordinator.tick();
    }
    for (ClaimId id : ids) {
      coordinator.tryStart(id);
      coordinator.completed(id, Optional.of(new StoredResponse(200, "text/plain", large)));
    }

    assertThat(statusOf(keys.get(0), ids.get(0)), instanceOf(ClaimStatus.Ran.class));
    assertThat(statusOf(keys.get(2), ids.get(2)), instanceOf(ClaimStatus.Stored.class));
    clock.advance(Duration.ofMinutes(10));
    assertThat(statusOf(keys.get(2), ids.get(2)), instanceOf(ClaimStatus.Ran.class));
  }

  private ClaimStatus statusOf(String key, ClaimId id) {
    return coordinator.statusOf(ClaimKey.parse(SHOP, key).orElseThrow(), id);
  }

  @Test
  void keys_are_removed_when_every_daemon_refuses_them() {
    claimAndRead(keyOfAge(Duration.ZERO));
    clock.advance(settings.acceptanceWindow().plusMinutes(4));
    coordinator.tick();
    assertThat(coordinator.indexedKeyCount(), is(1));

    clock.advance(Duration.ofMinutes(2));
    coordinator.tick();

    assertThat(coordinator.indexedKeyCount(), is(0));
  }
}
