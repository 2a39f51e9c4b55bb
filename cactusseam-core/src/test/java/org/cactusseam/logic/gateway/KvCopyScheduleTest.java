package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.ServerInstance;
import org.junit.jupiter.api.Test;

/**
 * Guards against losing long runs on engines whose shutdown notice is shorter than the rest of the
 * run.
 */
class KvCopyScheduleTest {

  private static final Instant START = Instant.EPOCH;

  private final KvCopySchedule schedule = new KvCopySchedule();
  private final ServerInstance first = GatewayFixtures.server("first", "engines", "ost-wien");
  private final ServerInstance second = GatewayFixtures.server("second", "engines", "ost-graz");
  private final FakeEngines engines = new FakeEngines();

  private final class FakeEngines implements KvCopySchedule.Engines {
    private final Set<String> gone = new HashSet<>();
    private final Set<String> leaving = new HashSet<>();

    @Override
    public boolean isUsable(ServerInstance engine) {
      return !gone.contains(engine.id());
    }

    @Override
    public boolean isLeaving(ServerInstance engine) {
      return leaving.contains(engine.id());
    }

    @Override
    public Optional<ServerInstance> choose(Set<String> excluded) {
      return List.of(first, second).stream()
          .filter(this::isUsable)
          .filter(engine -> !isLeaving(engine))
          .filter(engine -> !excluded.contains(engine.id()))
          .findFirst();
    }
  }

  private Optional<ServerInstance> next(boolean leaving, Duration sinceStart) {
    return schedule.next(leaving, engines, START.plus(sinceStart));
  }

  @Test
  void a_run_is_not_copied_unless_its_engine_is_leaving() {
    assertThat(next(false, Duration.ZERO), is(Optional.empty()));
  }

  @Test
  void only_one_copy_call_is_in_progress_at_a_time() {
    assertThat(next(true, Duration.ZERO), is(Optional.of(first)));
    assertThat(next(true, Duration.ofSeconds(1)), is(Optional.empty()));
  }

  @Test
  void a_copy_is_refreshed_at_the_engine_that_holds_it() {
    next(true, Duration.ZERO);
    schedule.recordCopied(first, "handle", START);

    assertThat(next(true, KvCopySchedule.REFRESH_INTERVAL.minusMillis(1)), is(Optional.empty()));
    assertThat(next(true, KvCopySchedule.REFRESH_INTERVAL), is(Optional.of(first)));
  }

  /**
   * Guards against two engines that are reclaimed in a row, where the second one is known to be
   * leaving only from its report.
   */
  @Test
  void a_run_is_copied_again_when_the_holder_of_its_copy_is_leaving() {
    next(true, Duration.ZERO);
    schedule.recordCopied(first, "handle", START);
    engines.leaving.add("first");

    assertThat(next(true, KvCopySchedule.REFRESH_INTERVAL), is(Optional.of(second)));
    schedule.recordCopied(second, "newer", START.plus(KvCopySchedule.REFRESH_INTERVAL));
    assertThat(schedule.copy(), is(Optional.of(new KvCopySchedule.Copy(second, "newer"))));
  }

  @Test
  void a_copy_at_a_leaving_engine_is_kept_until_another_engine_has_room() {
    next(true, Duration.ZERO);
    schedule.recordCopied(first, "handle", START);
    engines.leaving.add("first");
    next(true, KvCopySchedule.REFRESH_INTERVAL);
    schedule.recordRejected(second, START.plus(KvCopySchedule.REFRESH_INTERVAL));

    assertThat(schedule.copy(), is(Optional.of(new KvCopySchedule.Copy(first, "handle"))));
    assertThat(
        next(true, KvCopySchedule.REFRESH_INTERVAL.plus(KvCopySchedule.RETRY_DELAY)),
        is(Optional.empty()));
    assertThat(
        next(true, KvCopySchedule.REFRESH_INTERVAL.plus(KvCopySchedule.RETRY_DELAY)),
        is(Optional.of(second)));
  }

  @Test
  void a_rejected_copy_goes_to_another_engine() {
    next(true, Duration.ZERO);
    schedule.recordRejected(first, START);

    assertThat(next(true, KvCopySchedule.RETRY_DELAY), is(Optional.of(second)));
  }

  /** Guards against engines that are asked only once, although their free memory changes. */
  @Test
  void engines_are_retried_after_all_of_them_have_rejected_the_copy() {
    next(true, Duration.ZERO);
    schedule.recordRejected(first, START);
    next(true, KvCopySchedule.RETRY_DELAY);
    schedule.recordRejected(second, START);
    assertThat(next(true, KvCopySchedule.RETRY_DELAY), is(Optional.empty()));

    assertThat(next(true, KvCopySchedule.RETRY_DELAY), is(Optional.of(first)));
  }

  /** Guards against losing a complete copy because the call that refreshes it gets no answer. */
  @Test
  void a_copy_is_kept_when_its_refresh_gets_no_answer() {
    next(true, Duration.ZERO);
    schedule.recordCopied(first, "handle", START);
    next(true, KvCopySchedule.REFRESH_INTERVAL);

    schedule.recordUnanswered(START.plus(KvCopySchedule.REFRESH_INTERVAL));

    assertThat(schedule.copy(), is(Optional.of(new KvCopySchedule.Copy(first, "handle"))));
  }

  /**
   * Guards against losing a complete copy because its engine has no memory for the refresh. Runs
   * ended that way on the platform although an engine held nearly all of their KV cache.
   */
  @Test
  void a_copy_is_kept_when_its_refresh_is_rejected() {
    next(true, Duration.ZERO);
    schedule.recordCopied(first, "handle", START);
    next(true, KvCopySchedule.REFRESH_INTERVAL);

    schedule.recordRejected(first, START.plus(KvCopySchedule.REFRESH_INTERVAL));

    assertThat(schedule.copy(), is(Optional.of(new KvCopySchedule.Copy(first, "handle"))));
    assertThat(next(true, KvCopySchedule.REFRESH_INTERVAL.multipliedBy(2)), is(Optional.of(first)));
  }

  @Test
  void a_run_is_copied_again_when_the_holder_of_its_copy_is_gone() {
    next(true, Duration.ZERO);
    schedule.recordCopied(first, "handle", START);
    engines.gone.add("first");

    assertThat(next(true, KvCopySchedule.REFRESH_INTERVAL), is(Optional.of(second)));
  }
}
