package org.cactusseam.logic.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.logic.gateway.ProcessPauses;
import org.cactusseam.model.gateway.ServerInstance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a good version that is found bad because of load or pauses of the gateway. */
class EvidenceRulesTest {

  private static final Instant START = Instant.EPOCH;
  private static final EvidenceKey NEW = key(EvidenceKey.Measure.EVENTS, true);
  private static final EvidenceKey OLD = key(EvidenceKey.Measure.EVENTS, false);
  private static final ServerInstance OLD_SERVER =
      new ServerInstance(
          "s-1", 0, "engines", "127.0.0.1", 8_000, "a", 24, false, Duration.ZERO, "v1");

  private final LeavingServers leavingServers = new LeavingServers();
  private final ProcessPauses pauses = new ProcessPauses(START);
  private final EvidenceRules rules = new EvidenceRules(leavingServers, pauses);

  private static EvidenceKey key(EvidenceKey.Measure measure, boolean isNew) {
    return new EvidenceKey(measure, "r", isNew, "a", isNew ? "s-9" : "");
  }

  private static int times(RolloutEvidence evidence, EvidenceKey key) {
    return evidence.counts().getOrDefault(key, ResponseCounts.NONE).times().stream()
        .mapToInt(Integer::intValue)
        .sum();
  }

  /** Guards against times that include a stop of the gateway's event loop. */
  @ParameterizedTest(name = "sent at {0} ms, stop from 1000 to {1} ms: {2} times")
  @CsvSource({"950,  1200, 1", "950,  1300, 0", "950,  8700, 0", "1300, 1300, 1"})
  void times_across_a_pause_are_no_evidence(long sentMillis, long pauseEndMillis, int expected) {
    RolloutEvidence evidence = new RolloutEvidence();
    for (long millis = 0; millis <= 1_000; millis += 50) {
      pauses.tick(START.plusMillis(millis));
    }
    pauses.tick(START.plusMillis(pauseEndMillis));
    Instant sentAt = START.plusMillis(sentMillis);
    Instant now = START.plusMillis(pauseEndMillis + 20);

    rules.recordTime(evidence, NEW, sentAt, now);

    assertThat(times(evidence, NEW), is(expected));
  }

  /** Guards against a pause that hides the failures of a bad version. */
  @Test
  void failures_across_a_pause_are_evidence() {
    RolloutEvidence evidence = new RolloutEvidence();
    EvidenceKey key = key(EvidenceKey.Measure.RESPONSE, true);
    Instant now = START.plusSeconds(3);
    for (int response = 0; response < 9; response++) {
      evidence.recordFailure(key);
      rules.recordTime(evidence, key, START, now);
    }
    VersionTest test = new VersionTest();
    test.add(evidence.counts(), now);

    assertThat(times(evidence, key), is(0));
    assertThat(test.verdict(1).kind(), is(VersionTest.Kind.BAD));
  }

  /**
   * Guards against load of the moves, which slows down both versions, that is attributed to the new
   * one because servers that a roll-out replaces give no evidence.
   */
  @Test
  void servers_that_a_roll_out_replaces_still_give_the_comparison() {
    VersionTest test = new VersionTest();
    addSecond(test, 0, 60);
    leavingServers.markLeaving(OLD_SERVER, LeavingServers.Source.REPLACED, START.plusSeconds(1));
    addSecond(test, 1, 180);

    assertThat(test.verdict(1).kind(), is(VersionTest.Kind.GOOD));
  }

  /** Adds one second in which both versions respond in the same time. */
  private void addSecond(VersionTest test, int second, int millis) {
    RolloutEvidence evidence = new RolloutEvidence();
    Instant now = START.plusSeconds(second).plusMillis(millis);
    pauses.tick(START.plusSeconds(second));
    for (int response = 0; response < 30; response++) {
      evidence.recordSuccess(key(EvidenceKey.Measure.RESPONSE, true));
      rules.recordTime(evidence, NEW, START.plusSeconds(second), now);
      if (rules.isEvidence(OLD_SERVER)) {
        rules.recordTime(evidence, OLD, START.plusSeconds(second), now);
      }
    }
    test.add(evidence.counts(), now);
  }

  /** Guards against requests that a leaving server breaks off and that count for its version. */
  @ParameterizedTest
  @EnumSource(
      value = LeavingServers.Source.class,
      mode = EnumSource.Mode.EXCLUDE,
      names = "REPLACED")
  void servers_that_leave_give_no_evidence(LeavingServers.Source source) {
    assertThat(rules.isEvidence(OLD_SERVER), is(true));
    leavingServers.markLeaving(OLD_SERVER, LeavingServers.Source.REPLACED, START);
    assertThat(rules.isEvidence(OLD_SERVER), is(true));

    leavingServers.markLeaving(OLD_SERVER, source, START);
    assertThat(rules.isEvidence(OLD_SERVER), is(false));
    leavingServers.markLeaving(OLD_SERVER, LeavingServers.Source.REPLACED, START);
    assertThat(rules.isEvidence(OLD_SERVER), is(false));
    leavingServers.clearReplaced("engines");
    assertThat(leavingServers.isLeaving("s-1"), is(true));
  }
}
