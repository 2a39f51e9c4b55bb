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

/** Guards the single steps of a claim; {@link ClaimFaultsTest} guards their combinations. */
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

  private ClaimId arrive(String key) {
    return coordinator.arrive(SHOP, key, "body", clock.instant().plusSeconds(30));
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
    ClaimId id = arrive(key);
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
    arrive(keyOfAge(Duration.ofSeconds(age)));

    assertThat(refusal().map(Enum::name).orElse("NONE"), is(expected));
  }

  @Test
  void a_claim_that_waits_is_refused_as_soon_as_the_log_is_out_and_released_when_it_appears() {
    ClaimId id = arrive(keyOfAge(Duration.ZERO));
    List<ClaimEntry> claims = appended();

    coordinator.appendFailed(1);
    assertThat(refusal(), is(Optional.of(ResultCode.LOG_UNAVAILABLE)));
    clock.advance(Duration.ofSeconds(2));
    claims.forEach(this::read);

    assertThat(coordinator.tryStart(id), is(false));
    assertThat(appended(), contains(instanceOf(ClaimEntry.Released.class)));
  }

  @Test
  void a_claim_whose_append_got_lost_is_sent_again() {
    arrive(keyOfAge(Duration.ZERO));
    List<ClaimEntry> first = appended();
    clock.advance(Duration.ofSeconds(1));

    coordinator.appendTimedOut(1);

    assertThat(appended(), is(first));
  }

  @Test
  void a_claim_that_is_read_after_the_deadline_is_not_sent_but_released() {
    ClaimId id = arrive(keyOfAge(Duration.ZERO));
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
  void a_paused_node_loses_its_right_to_send(long millis, boolean allowed) {
    ClaimId id = claimAndRead(keyOfAge(Duration.ZERO));
    clock.advance(Duration.ofMillis(millis));

    assertThat(coordinator.tryStart(id), is(allowed));
    assertThat(coordinator.tryStart(id), is(false));
  }

  /** Under load the permit for an entitled attempt can come later than the first right lasts. */
  @ParameterizedTest(name = "waits {0} ms in steps of {1} ms: may send {2}")
  @CsvSource({"8000, 500, true", "8000, 900, true", "8000, 1000, false", "30000, 500, false"})
  void a_node_that_runs_may_send_until_the_deadline(long waits, long step, boolean allowed) {
    ClaimId id = claimAndRead(keyOfAge(Duration.ZERO));
    for (long waited = 0; waited < waits; waited += step) {
      clock.advance(Duration.ofMillis(step));
      coordinator.tick();
    }

    assertThat(coordinator.tryStart(id), is(allowed));
  }

  @Test
  void a_claim_of_an_earlier_boot_counts_as_unknown_until_its_end_is_recorded() {
    ClaimKey key = ClaimKey.parse(SHOP, keyOfAge(Duration.ZERO)).orElseThrow();
    ClaimId earlier = new ClaimId(new NodeName("vm0"), "earlier", 1);
    read(new ClaimEntry.Claimed(key, earlier, "body"));

    arrive(key.key().toString());
    assertThat(refusal(), is(Optional.of(ResultCode.OUTCOME_UNKNOWN)));
    read(new ClaimEntry.Finished(key, earlier));
    arrive(key.key().toString());

    assertThat(refusal(), is(Optional.of(ResultCode.ALREADY_RAN)));
  }

  @ParameterizedTest(name = "other node answers {0}: {1}")
  @CsvSource({
    "InProgress, IN_PROGRESS",
    "Ran, ALREADY_RAN",
    "MayHaveRun, OUTCOME_UNKNOWN",
    "Unknown, OUTCOME_UNKNOWN",
    "silence, OUTCOME_UNKNOWN"
  })
  void the_node_of_the_claim_decides_the_answer(String kind, ResultCode expected) {
    ClaimKey key = ClaimKey.parse(SHOP, keyOfAge(Duration.ZERO)).orElseThrow();
    ClaimId other = new ClaimId(new NodeName("vm1"), "boot", 1);
    read(new ClaimEntry.Claimed(key, other, "body"));
    ClaimId id = arrive(key.key().toString());
    assertThat(coordinator.drain(), contains(instanceOf(ClaimAction.Ask.class)));

    clock.advance(Duration.ofSeconds(1));
    switch (kind) {
      case "InProgress" -> coordinator.answered(id, other, new ClaimStatus.InProgress());
      case "Ran" -> coordinator.answered(id, other, new ClaimStatus.Ran());
      case "MayHaveRun" -> coordinator.answered(id, other, new ClaimStatus.MayHaveRun());
      case "Unknown" -> coordinator.peerUnreachable(id, other);
      default -> coordinator.tick();
    }

    assertThat(refusal(), is(Optional.of(expected)));
    assertThat(coordinator.tryStart(id), is(false));
  }

  @Test
  void an_answer_about_a_claim_that_no_longer_holds_the_key_is_ignored() {
    ClaimKey key = ClaimKey.parse(SHOP, keyOfAge(Duration.ZERO)).orElseThrow();
    ClaimId first = new ClaimId(new NodeName("vm1"), "boot", 1);
    ClaimId second = new ClaimId(new NodeName("vm2"), "boot", 1);
    read(new ClaimEntry.Claimed(key, first, "body"), new ClaimEntry.Claimed(key, second, "body"));
    ClaimId id = arrive(key.key().toString());
    read(new ClaimEntry.Released(key, first));

    coordinator.answered(id, first, new ClaimStatus.Ran());
    assertThat(refusal(), is(Optional.empty()));
    coordinator.answered(id, second, new ClaimStatus.InProgress());

    assertThat(refusal(), is(Optional.of(ResultCode.IN_PROGRESS)));
  }

  @Test
  void a_request_that_waits_for_a_release_claims_the_key_afterwards() {
    ClaimKey key = ClaimKey.parse(SHOP, keyOfAge(Duration.ZERO)).orElseThrow();
    ClaimId other = new ClaimId(new NodeName("vm1"), "boot", 1);
    read(new ClaimEntry.Claimed(key, other, "body"));
    ClaimId id = arrive(key.key().toString());
    coordinator.answered(id, other, new ClaimStatus.NotRun());
    assertThat(coordinator.tryStart(id), is(false));

    read(new ClaimEntry.Released(key, other));
    appended().forEach(this::read);

    assertThat(coordinator.tryStart(id), is(true));
  }

  @Test
  void appends_are_spaced_by_the_number_of_appending_nodes() {
    coordinator.appendingNodes(16);
    arrive(keyOfAge(Duration.ofSeconds(1)));
    assertThat(appended(), hasSize(1));

    arrive(keyOfAge(Duration.ofSeconds(2)));
    arrive(keyOfAge(Duration.ofSeconds(3)));
    clock.advance(Duration.ofMillis(79));
    coordinator.tick();
    assertThat(appended(), is(empty()));
    clock.advance(Duration.ofMillis(1));
    coordinator.tick();

    assertThat(appended(), hasSize(2));
  }

  @Test
  void stored_answers_are_bounded_in_bytes_and_time() {
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

    assertThat(answer(keys.get(0), ids.get(0)), instanceOf(ClaimStatus.Ran.class));
    assertThat(answer(keys.get(2), ids.get(2)), instanceOf(ClaimStatus.Stored.class));
    clock.advance(Duration.ofMinutes(10));
    assertThat(answer(keys.get(2), ids.get(2)), instanceOf(ClaimStatus.Ran.class));
  }

  private ClaimStatus answer(String key, ClaimId id) {
    return coordinator.answer(ClaimKey.parse(SHOP, key).orElseThrow(), id);
  }

  @Test
  void keys_are_forgotten_when_every_node_refuses_them() {
    claimAndRead(keyOfAge(Duration.ZERO));
    clock.advance(settings.window().plusMinutes(4));
    coordinator.tick();
    assertThat(coordinator.indexedKeys(), is(1));

    clock.advance(Duration.ofMinutes(2));
    coordinator.tick();

    assertThat(coordinator.indexedKeys(), is(0));
  }
}
