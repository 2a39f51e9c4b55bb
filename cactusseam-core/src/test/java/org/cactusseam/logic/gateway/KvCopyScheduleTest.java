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

/** Guards long runs against engines that leave with less notice than the runs last. */
class KvCopyScheduleTest {

  private static final Instant START = Instant.EPOCH;

  private final KvCopySchedule plan = new KvCopySchedule();
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

  private Optional<ServerInstance> next(boolean leaving, Duration later) {
    return plan.next(leaving, engines, START.plus(later));
  }

  @Test
  void a_run_on_an_engine_that_stays_is_not_copied() {
    assertThat(next(false, Duration.ZERO), is(Optional.empty()));
  }

  @Test
  void one_call_at_a_time_is_in_progress() {
    assertThat(next(true, Duration.ZERO), is(Optional.of(first)));
    assertThat(next(true, Duration.ofSeconds(1)), is(Optional.empty()));
  }

  @Test
  void a_copy_is_brought_up_to_date_at_the_same_engine() {
    next(true, Duration.ZERO);
    plan.recordCopied(first, "handle", START);

    assertThat(next(true, KvCopySchedule.REFRESH.minusMillis(1)), is(Optional.empty()));
    assertThat(next(true, KvCopySchedule.REFRESH), is(Optional.of(first)));
  }

  /** Guards against two reclaimed engines in a row, the second one known by its report only. */
  @Test
  void a_copy_at_an_engine_that_leaves_as_well_is_made_again_elsewhere() {
    next(true, Duration.ZERO);
    plan.recordCopied(first, "handle", START);
    engines.leaving.add("first");

    assertThat(next(true, KvCopySchedule.REFRESH), is(Optional.of(second)));
    plan.recordCopied(second, "newer", START.plus(KvCopySchedule.REFRESH));
    assertThat(plan.copy(), is(Optional.of(new KvCopySchedule.Copy(second, "newer"))));
  }

  @Test
  void a_copy_at_an_engine_that_leaves_is_kept_while_no_other_one_has_room() {
    next(true, Duration.ZERO);
    plan.recordCopied(first, "handle", START);
    engines.leaving.add("first");
    next(true, KvCopySchedule.REFRESH);
    plan.recordRejected(second, START.plus(KvCopySchedule.REFRESH));

    assertThat(plan.copy(), is(Optional.of(new KvCopySchedule.Copy(first, "handle"))));
    assertThat(next(true, KvCopySchedule.REFRESH.plus(KvCopySchedule.RETRY)), is(Optional.empty()));
    assertThat(
        next(true, KvCopySchedule.REFRESH.plus(KvCopySchedule.RETRY)), is(Optional.of(second)));
  }

  @Test
  void a_rejected_copy_goes_to_another_engine() {
    next(true, Duration.ZERO);
    plan.recordRejected(first, START);

    assertThat(next(true, KvCopySchedule.RETRY), is(Optional.of(second)));
  }

  /** Guards against engines that are asked once only, although their room comes and goes. */
  @Test
  void when_all_have_rejected_the_first_is_asked_again() {
    next(true, Duration.ZERO);
    plan.recordRejected(first, START);
    next(true, KvCopySchedule.RETRY);
    plan.recordRejected(second, START);
    assertThat(next(true, KvCopySchedule.RETRY), is(Optional.empty()));

    assertThat(next(true, KvCopySchedule.RETRY), is(Optional.of(first)));
  }

  /** Guards against the loss of a complete copy because the call that updates it has no answer. */
  @Test
  void a_copy_is_still_held_when_its_update_is_not_answered() {
    next(true, Duration.ZERO);
    plan.recordCopied(first, "handle", START);
    next(true, KvCopySchedule.REFRESH);

    plan.recordUnanswered(START.plus(KvCopySchedule.REFRESH));

    assertThat(plan.copy(), is(Optional.of(new KvCopySchedule.Copy(first, "handle"))));
  }

  /**
   * Guards against the loss of a complete copy because its engine has no room for the update. On
   * the platform runs ended that way although an engine held nearly all of their memory.
   */
  @Test
  void a_copy_is_still_held_when_its_update_is_rejected() {
    next(true, Duration.ZERO);
    plan.recordCopied(first, "handle", START);
    next(true, KvCopySchedule.REFRESH);

    plan.recordRejected(first, START.plus(KvCopySchedule.REFRESH));

    assertThat(plan.copy(), is(Optional.of(new KvCopySchedule.Copy(first, "handle"))));
    assertThat(next(true, KvCopySchedule.REFRESH.multipliedBy(2)), is(Optional.of(first)));
  }

  @Test
  void a_copy_at_an_engine_that_leaves_is_made_again_elsewhere() {
    next(true, Duration.ZERO);
    plan.recordCopied(first, "handle", START);
    engines.gone.add("first");

    assertThat(next(true, KvCopySchedule.REFRESH), is(Optional.of(second)));
  }
}
