package org.cactusseam.logic.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.logic.control.ShardOwners;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.Handover;
import org.cactusseam.model.control.RunId;
import org.cactusseam.model.control.ShardOwner;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a successor that grants while permits of its predecessor are still valid, which
 * happens if the takeover wait ends too early or if a delayed handover of an earlier epoch ends the
 * wait of a later one.
 */
class OwnershipPeriodsTest {

  private static final ShardId SHARD = new ShardId(new PoolName("p"), new RegionName("r"), 0);
  private static final RunId FIRST = new RunId(new NodeName("n1"), "b1");
  private static final RunId SECOND = new RunId(new NodeName("n2"), "b1");

  @ParameterizedTest(name = "handover of epoch {0}, before the record {1}: {2}")
  @CsvSource({
    "10, false, true",
    "10, true, true",
    "5, false, false",
    "5, true, false",
    "20, false, false",
    "20, true, false"
  })
  void only_a_handover_of_the_current_epoch_ends_the_wait(
      long epoch, boolean before, boolean clear) {
    OwnershipPeriods periods = new OwnershipPeriods(MembershipSettings.DEFAULT);
    Handover handover = new Handover(SHARD, SECOND, epoch, FIRST, SECOND, Set.of());
    periods.onOwnersChanged(owned(FIRST, 7), false, Set.of(), SECOND, Instant.EPOCH);
    if (before) {
      periods.onReleasedByRecord(handover);
    }
    periods.onOwnersChanged(owned(SECOND, 10), false, Set.of(), SECOND, Instant.EPOCH);
    if (!before) {
      periods.onReleasedByRecord(handover);
    }

    assertThat(periods.mayTakeOver(SHARD, Instant.EPOCH.plusSeconds(4)), is(clear));
    assertThat(periods.mayTakeOver(SHARD, Instant.EPOCH.plusSeconds(5)), is(true));
  }

  /**
   * The successor must still wait for the permits that the ended run granted before, 1 s plus a
   * margin of 500 ms.
   */
  @ParameterizedTest(name = "the end is seen {0} ms after the record, clear after {1} ms: {2}")
  @CsvSource({
    "never, 4499, false",
    "never, 4500, true",
    "before, 1499, false",
    "before, 1500, true",
    "0, 1500, true",
    "1000, 2499, false",
    "1000, 2500, true",
    "4000, 4500, true",
    "-1, 4499, false"
  })
  void the_wait_for_a_run_that_has_ended_lasts_only_until_its_permits_expire(
      String seen, long millis, boolean clear) {
    OwnershipPeriods periods = new OwnershipPeriods(MembershipSettings.DEFAULT);
    periods.onOwnersChanged(owned(FIRST, 7), false, Set.of(), SECOND, Instant.EPOCH);
    Set<RunId> ended = seen.equals("before") ? Set.of(FIRST) : Set.of();
    periods.onOwnersChanged(owned(SECOND, 10), false, ended, SECOND, Instant.EPOCH);
    if (seen.matches("-?[0-9]+")) {
      Instant at = Instant.EPOCH.plusMillis(Long.parseLong(seen));
      periods.onRunsEnded(FIRST::equals, at, at);
    }

    assertThat(periods.mayTakeOver(SHARD, Instant.EPOCH.plusMillis(millis)), is(clear));
  }

  private static ShardOwners owned(RunId run, long epoch) {
    return new ShardOwners(Map.of(SHARD, Optional.of(new ShardOwner(run, epoch))));
  }
}
