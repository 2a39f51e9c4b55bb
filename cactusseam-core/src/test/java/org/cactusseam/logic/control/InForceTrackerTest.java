package org.cactusseam.logic.control;

import static org.cactusseam.logic.control.ControlFixtures.activate;
import static org.cactusseam.logic.control.ControlFixtures.domain;
import static org.cactusseam.logic.control.ControlFixtures.expel;
import static org.cactusseam.logic.control.ControlFixtures.join;
import static org.cactusseam.logic.control.ControlFixtures.put;
import static org.cactusseam.logic.control.ControlFixtures.server;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.ExpelReason;
import org.cactusseam.model.control.PeerStatus;
import org.cactusseam.model.control.RunId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a command that is reported in force while an owner may still grant without having
 * applied it, and against provisional restrictions that are lost or that outlive the decision of
 * the log.
 */
class InForceTrackerTest {

  private static final FailureDomain DOMAIN = domain("east-1", "east");

  private final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final ControlState state = new ControlState();
  private final InForceTracker tracker = new InForceTracker(clock, Duration.ofSeconds(1));

  private RecordOutcome apply(ControlRecord record) {
    RecordOutcome outcome = state.apply(state.nextOffset(), record);
    tracker.onStateApplied(state);
    return outcome;
  }

  private void recordOrder() {
    apply(put("c0", -1, DOMAIN));
    apply(put("c1", -1, server("s", "pool", "east-1", BackendKind.ENGINE)));
    apply(join("n1", "b1", "east"));
    long offset = state.nextOffset();
    apply(put("order", 0, DOMAIN.withState(ServiceState.OUT)));
    tracker.trackCommand("order", offset, state.owners().owners().keySet());
  }

  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({
    "'n1:3:settled, +2000', ''",
    "'n1:4:settled, +900', ''",
    "'n1:4:settled, +1000', 'in force'",
    "'n1:4:settled, +1000, +9000', 'in force'",
    "'n1:4:waiting, +2000', ''",
    "'n1:4:leaving, +2000', ''",
    "'+6900', ''",
    "'+7000', 'waiting for [n1]'",
    "'+7000, n1:4:settled, +1000', 'waiting for [n1]; in force'",
    "'n1:5:settled, +2000', ''",
    "'n1:5:settled, second joins, +1000', 'in force'",
    "'second takes over, n2:6:settled, +2000', ''",
    "'second takes over, n2:7:settled, +1000', 'in force'",
    "'second takes over, n1:7:settled, +2000', ''",
    "'second takes over, n2:7:waiting, +7000', 'waiting for [n2]'"
  })
  void a_command_is_in_force_when_the_owner_has_applied_it_and_earlier_permits_have_expired(
      String steps, String expected) {
    recordOrder();
    for (String step : steps.split(", ")) {
      perform(step);
    }

    String events =
        tracker.drain().stream()
            .map(InForceTrackerTest::describe)
            .collect(Collectors.joining("; "));
    assertThat(events, is(expected));
  }

  private static String describe(InForceEvent event) {
    return switch (event) {
      case InForceEvent.InForce inForce -> "in force";
      case InForceEvent.Waiting waiting -> "waiting for " + waiting.missing();
    };
  }

  private void perform(String step) {
    if (step.startsWith("+")) {
      clock.advance(Duration.ofMillis(Long.parseLong(step.substring(1))));
      tracker.tick();
    } else if (step.startsWith("second")) {
      apply(join("n2", "b1", "east"));
      if (step.equals("second takes over")) {
        apply(activate("n2", "b1"));
        apply(expel("n1", "b1", "n2", ExpelReason.UNREACHABLE));
      }
    } else {
      String[] parts = step.split(":");
      RunId run = new RunId(new NodeName(parts[0]), "b1");
      boolean settled = !parts[2].equals("waiting");
      boolean leaving = parts[2].equals("leaving");
      tracker.onStatus(
          new PeerStatus(run, Long.parseLong(parts[1]), OptionalLong.empty(), settled, leaving));
    }
  }

  @ParameterizedTest(name = "{0}: kept {1}, domain {2}")
  @CsvSource({
    "restrict, true, OUT",
    "restrict recorded, false, OUT",
    "restrict other-change, false, IN",
    "restrict unrelated, true, OUT",
    "recorded restrict, false, OUT",
    "other-change restrict, false, IN",
    "relax, false, IN",
    "restrict restrict, true, OUT"
  })
  void a_restriction_is_kept_until_the_log_decides(
      String steps, boolean kept, ServiceState expected) {
    apply(put("c0", -1, DOMAIN));
    ProvisionalRestrictions restrictions = new ProvisionalRestrictions();
    ControlRecord.Change order = put("order", 0, DOMAIN.withState(ServiceState.OUT));
    ControlRecord.Change relaxation = put("relax", 0, domain("east-1", "west"));
    for (String step : steps.split(" ")) {
      switch (step) {
        case "restrict" -> restrictions.add(order, state);
        case "relax" -> restrictions.add(relaxation, state);
        case "recorded" -> apply(order);
        case "other-change" -> apply(put("c2", 0, DOMAIN));
        case "unrelated" -> apply(put("c3", -1, domain("west-1", "west")));
        default -> throw new IllegalArgumentException(step);
      }
      restrictions.onStateApplied(state);
    }

    assertThat(restrictions.pending(), is(kept ? List.of(order) : List.of()));
    assertThat(
        restrictions.effective(state).domain(DOMAIN.name()).map(FailureDomain::state),
        is(Optional.of(expected)));
  }
}
