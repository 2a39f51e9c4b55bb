package org.cactusseam.logic.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.quarantine.Conviction;
import org.cactusseam.model.quarantine.CrashId;
import org.cactusseam.model.quarantine.CrashReport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a request that comes again unchanged and crashes a server each time, beside others
 * that do the same, and against refusing a sound request that is sent again.
 */
class RepeatedRequestsTest {

  private static final Duration BETWEEN_CRASHES = Duration.ofSeconds(1);

  private final PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
  private final RepeatedRequests requests =
      new RepeatedRequests(clock, fingerprint -> fingerprint.startsWith("r"));
  private final List<Conviction> found = new ArrayList<>();

  /**
   * Replays events: {@code ab} is a crash of a server on which the requests ra and rb were
   * unanswered, {@code +a} is an answer to ra. Crashes that are joined by {@code &} happen
   * together.
   */
  private void replay(String events) {
    int server = 0;
    for (String together : events.split(" ")) {
      for (String event : together.split("&")) {
        if (event.startsWith("+")) {
          requests.recordAnswer("r" + event.substring(1));
        } else {
          server++;
          CrashId id =
              new CrashId(
                  new BackendServerName("s" + server), "run", new NodeName("vm0"), clock.millis());
          // All requests have a part in common, which is not the cause.
          List<String> suspects = new ArrayList<>(List.of("part"));
          event.chars().forEach(name -> suspects.add("r" + (char) name));
          requests.add(new CrashReport(id, Set.copyOf(suspects), Set.of(), true));
        }
      }
      clock.advance(BETWEEN_CRASHES);
      found.addAll(requests.findCauses(found));
    }
  }

  @ParameterizedTest
  @CsvSource({
    // Alone, too seldom, and with an answer in between.
    "a a a a, ra",
    "a a a, ''",
    "a a a +a a a, ''",
    // Several of them, often or always at the same moments.
    "ab ab a a a b b b, 'ra rb'",
    "ab ab ab ab ab a a a, ra",
    "a b c a b c a b c a b c a b c, 'ra rb rc'",
    // Sound requests that are sent again meet crashes of others.
    "as bs as b as a b a b a b, 'ra rb'",
    "as bs as bs as a b a b a b, 'ra rb'",
    "as bs cs as bs cs as bs cs, ''",
    "as as as a a a, ra",
    // Servers that fail together count once.
    "s&s&s s&s&s s, ''"
  })
  void a_request_that_met_crashes_without_an_answer_or_another_explanation_is_a_cause(
      String events, String expected) {
    replay(events);

    List<String> causes = found.stream().map(Conviction::fingerprint).sorted().toList();
    assertThat(String.join(" ", causes), is(expected));
  }
}
