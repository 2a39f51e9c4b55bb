package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Optional;
import org.cactusseam.logic.gateway.PaceReplay.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against paces that make responses slower: many VMs see the same fast servers, and
 * statements are old or untrue when they are used.
 */
class ServerPacesReplayTest {

  @ParameterizedTest(name = "{0}, {1} VMs")
  @CsvSource({
    "WAVES, 6",
    "WAVES, 40",
    "WAVES, 126",
    "PERMANENT, 6",
    "PERMANENT, 126",
    "ONE_FAST, 6",
    "ONE_FAST, 40",
    "ONE_FAST, 126",
    "UNTRUE, 6",
    "UNTRUE, 126",
    "ONE_ROUTE, 6",
    "ONE_ROUTE, 126"
  })
  void responses_are_faster_than_without_paces(Pattern pattern, int vms) {
    List<Long> without = new PaceReplay(pattern, vms, Optional.empty(), true).durations();
    List<Long> with = new PaceReplay(pattern, vms, Optional.of(ServerPaces::new), true).durations();

    assertThat(mean(with), lessThan(mean(without)));
  }

  private static double mean(List<Long> durations) {
    return durations.stream().mapToLong(each -> each).average().orElseThrow();
  }
}
