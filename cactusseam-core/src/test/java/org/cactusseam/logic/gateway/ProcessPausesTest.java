package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cactusseam.logic.replay.PausedClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against responses that waited for a frozen process and are measured as slow ones. */
class ProcessPausesTest {

  private final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final ProcessPauses pauses = new ProcessPauses(clock.instant());

  @ParameterizedTest(name = "gap of {0} ms: affected {1}")
  @CsvSource({"50, false", "250, false", "251, true", "3000, true"})
  void requests_sent_before_a_gap_are_affected(long millis, boolean affected) {
    Instant sentAt = clock.instant();
    clock.advance(millis);

    assertThat(pauses.isAffected(sentAt, clock.instant()), is(affected));
    pauses.tick(clock.instant());
    clock.advance(40);
    assertThat(pauses.isAffected(sentAt, clock.instant()), is(affected));
  }

  @Test
  void requests_sent_after_a_pause_are_not_affected() {
    clock.advance(3_000);
    assertThat(pauses.tick(clock.instant()), is(Optional.of(Duration.ofSeconds(3))));
    Instant sentAt = clock.instant();
    clock.advance(100);

    assertThat(pauses.isAffected(sentAt, clock.instant()), is(false));
    assertThat(pauses.tick(clock.instant()), is(Optional.empty()));
  }
}
