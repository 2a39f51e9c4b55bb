package org.cactusseam.logic.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against lower classes that delay the first tokens of an account that returns to its
 * purchased share, and against steady use of a share that starves the lower classes.
 */
class StartPauseTest {

  private final ShardFixture fixture = new ShardFixture(AdmissionSettings.zopfwerk());

  @ParameterizedTest(name = "{0}, {1} ms later: {2} of a standard request start")
  @CsvSource({"premium, 0, 0", "premium, 299, 0", "premium, 300, 1", "other, 0, 1"})
  void lower_classes_start_no_attempt_for_a_time_after_a_request_within_a_share(
      String account, long laterMillis, int started) {
    fixture.server("zopf-1", 10, 50, 1_000_000).warm();
    fixture.askMany(account, 1);

    fixture.clock.advance(laterMillis);

    assertThat(fixture.askMany("standard", 1), hasSize(started));
  }

  /**
   * Guards against lower classes that starve because a higher class always sends requests within
   * its purchased share. The pauses may take the initial budget of 2 s and then a twentieth of the
   * time.
   */
  @Test
  void steady_use_of_a_share_pauses_lower_classes_for_a_bounded_part_of_the_time() {
    StartPause pause = new StartPause(300);
    int paused = 0;
    int seconds = 100;
    for (int now = 0; now < seconds * 1_000; now += 10) {
      pause.extend(now);
      paused += pause.isOver(now) ? 0 : 10;
    }

    assertThat(paused, is(lessThanOrEqualTo(2_000 + seconds * 1_000 / 20)));
  }

  /**
   * Guards against a burst that is sent to an engine with many streams while another engine runs
   * few.
   */
  @Test
  void a_returning_account_goes_to_the_engine_with_short_steps_although_its_memory_is_full() {
    fixture.server("zopf-1", 20, 50, 1_000_000).server("zopf-2", 20, 50, 1_200).warm();
    for (int index = 0; index < 12; index++) {
      PermitRequest running = fixture.request("standard", 10, 60_000, List.of(), List.of());
      int server = index < 10 ? 0 : 1;
      fixture.shard.adopt(
          running, new Permit(running.id(), fixture.id, fixture.name(server), 7), 500);
    }
    fixture.clock.advance(100);

    List<Permit> permits = fixture.askMany("premium", 1);

    assertThat(permits.getFirst().server(), is(fixture.name(1)));
  }
}
