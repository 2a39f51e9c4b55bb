package org.cactusseam.logic.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.claim.ClaimEntry;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.ClaimKey;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against daemons that disagree on the holder of a key when the log duplicates or reorders
 * entries.
 */
class ClaimIndexTest {

  private static final ClaimKey KEY =
      new ClaimKey(
          new AccountName("shop"), UUID.fromString("019ca8d7-2d00-7bb2-b536-544e0f64f2de"));

  /** The entries are abbreviated: c1 is a claim of attempt 1, r1 its release, f1 its completion. */
  @ParameterizedTest(name = "{0}: holder {1}, finished {2}")
  @CsvSource({
    "c1, 1, false",
    "c1 c2, 1, false",
    "c2 c1, 2, false",
    "c1 c2 r1, 2, false",
    "c1 c2 r2, 1, false",
    "c1 r1, 0, false",
    "c1 r1 c1, 0, false",
    "r1 c1, 0, false",
    "c1 c1 r1, 0, false",
    "c1 c2 r1 c1, 2, false",
    "c1 c2 r1 r2 c3, 3, false",
    "c1 f1 c2, 1, true"
  })
  void the_first_claim_that_is_not_released_holds_the_key(
      String abbreviations, long holder, boolean finished) {
    ClaimIndex index = new ClaimIndex(Duration.ofHours(1));
    for (String abbreviation : abbreviations.split(" ")) {
      index.apply(entry(abbreviation));
    }

    Optional<Long> actual = index.holder(KEY).map(claim -> claim.id().attempt());
    assertThat(actual.orElse(0L), is(holder));
    assertThat(index.isFinished(KEY), is(finished));
  }

  private static ClaimEntry entry(String abbreviation) {
    ClaimId id = new ClaimId(new NodeName("vm0"), "boot", abbreviation.charAt(1) - '0');
    return switch (abbreviation.charAt(0)) {
      case 'c' -> new ClaimEntry.Claimed(KEY, id, "body");
      case 'r' -> new ClaimEntry.Released(KEY, id);
      default -> new ClaimEntry.Finished(KEY, id);
    };
  }
}
