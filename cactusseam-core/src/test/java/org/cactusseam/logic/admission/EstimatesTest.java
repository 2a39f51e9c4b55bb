package org.cactusseam.logic.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against wrong estimates of output lengths, of the service rate and of the peak engine
 * memory.
 */
class EstimatesTest {

  @ParameterizedTest(name = "{0} tokens generated: {1} expected")
  @CsvSource({"0, 400", "90, 400", "150, 700", "600, 700"})
  void a_long_output_is_estimated_from_outputs_of_at_least_its_length(
      long generated, double expected) {
    LengthHistogram histogram = new LengthHistogram();
    for (int round = 0; round < 200; round++) {
      histogram.add(100);
      histogram.add(700);
    }

    assertThat(histogram.expectedTotal(generated), is(closeTo(expected, expected / 10)));
  }

  /**
   * Guards against a new owner that refuses the queue it took over, because it divides its few
   * grants by the whole window instead of by the time since its first grant.
   */
  @ParameterizedTest(name = "{0} grants in {1} ms, 20 attempts ahead: {2} ms")
  @CsvSource({"0, 100, 0", "4, 100, 5000", "4, 1000, 5000", "4, 2000, 10000", "30, 7500, 5000"})
  void the_rate_averages_grants_over_the_time_since_the_first(
      int grants, long millis, double wait) {
    ServiceRate rate = new ServiceRate();
    for (int number = 0; number < grants; number++) {
      rate.recordGrant(1_000_000 + number);
    }

    assertThat(rate.waitMillis(20, grants, 1_000_000 + millis), is(closeTo(wait, wait / 10)));
  }

  @Test
  void an_output_longer_than_all_others_is_expected_to_go_on() {
    LengthHistogram histogram = new LengthHistogram();
    histogram.add(100);

    assertThat(histogram.expectedTotal(5_000), is(greaterThan(5_100.0)));
  }

  @Test
  void old_lengths_lose_weight_slowly() {
    LengthHistogram histogram = new LengthHistogram();
    for (int round = 0; round < 2_000; round++) {
      histogram.add(100);
    }
    for (int round = 0; round < 100; round++) {
      histogram.add(1_000);
    }
    assertThat(histogram.expectedTotal(0) < 400, is(true));
    for (int round = 0; round < 4_000; round++) {
      histogram.add(1_000);
    }
    assertThat(histogram.expectedTotal(0), is(closeTo(1_000, 100)));
  }

  /** Compares the forecast with a step-by-step simulation of all streams. */
  @Property(tries = 10_000, seed = "20260212")
  void the_forecast_peak_equals_that_of_a_simulation_of_all_streams(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 40) Integer> remaining,
      @ForAll @IntRange(min = 0, max = 30) int held) {
    MemoryForecast forecast = new MemoryForecast();
    for (int index = 1; index < remaining.size(); index++) {
      forecast.add(held + index, remaining.get(index));
    }
    forecast.sort();

    double peak = forecast.peakWith(held, remaining.getFirst());

    int expected = 0;
    for (int time = 0; time <= 40; time++) {
      int sum = 0;
      for (int index = 0; index < remaining.size(); index++) {
        sum += time <= remaining.get(index) ? held + index + time : 0;
      }
      expected = Math.max(expected, sum);
    }
    assertThat(peak, is(closeTo(expected, 0.001)));
  }
}
