package org.cactusseam.edge.metrics;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against metrics that hide tail latencies, mix accounts or grow without bound. */
class RequestMetricsTest {

  private final PausedClock clock = new PausedClock();
  private final RequestMetrics metrics = new RequestMetrics(clock);

  private RequestRecorder recorder(String account, String priorityClass) {
    return metrics.recorder(new AccountName(account), new PriorityClassName(priorityClass));
  }

  private List<String> lines() {
    return metrics.expose().lines().toList();
  }

  private double value(String series) {
    return lines().stream()
        .filter(line -> line.startsWith(series + " "))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .findFirst()
        .orElseThrow(() -> new AssertionError(series + " is not in\n" + metrics.expose()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"account_NAME{account=\"resi\"", "class_NAME{class=\"gold\""})
  void each_measurement_counts_for_the_account_and_the_class(String labels) {
    RequestRecorder recorder = recorder("resi", "gold");
    recorder.recordWait(Duration.ofMillis(20));
    recorder.recordFirstToken(Duration.ofMillis(300));
    recorder.recordNextToken(Duration.ofMillis(40));
    recorder.recordNextToken(Duration.ofMillis(900));
    recorder.recordRefusal(ResultCode.OVERLOADED);
    recorder.recordRefusal(ResultCode.OVERLOADED);
    recorder.recordPreemption();
    recorder.recordEnd(3);

    String prefix = "cactusseam_" + labels;
    assertThat(
        value(prefix.replace("NAME", "waiting_seconds") + ",quantile=\"0.5\",}"),
        closeTo(0.02, 0.0003));
    assertThat(
        value(prefix.replace("NAME", "first_token_seconds") + ",quantile=\"0.99\",}"),
        closeTo(0.3, 0.003));
    assertThat(
        value(prefix.replace("NAME", "between_tokens_seconds") + ",quantile=\"0.99\",}"),
        closeTo(0.9, 0.009));
    assertThat(value(prefix.replace("NAME", "between_tokens_seconds_count") + ",}"), is(2.0));
    assertThat(value(prefix.replace("NAME", "stall_seconds_count") + ",}"), is(1.0));
    assertThat(value(prefix.replace("NAME", "stall_milliseconds_total") + ",}"), is(900.0));
    assertThat(value(prefix.replace("NAME", "preemptions_total") + ",}"), is(1.0));
    assertThat(value(prefix.replace("NAME", "tokens_total") + ",}"), is(3.0));
    assertThat(
        value(prefix.replace("NAME", "refusals_total") + ",code=\"3001\",name=\"overloaded\",}"),
        is(2.0));
  }

  @Test
  void accounts_of_one_class_do_not_mix() {
    recorder("a", "gold").recordFirstToken(Duration.ofMillis(100));
    recorder("b", "gold").recordFirstToken(Duration.ofMillis(100));

    assertThat(value("cactusseam_account_first_token_seconds_count{account=\"a\",}"), is(1.0));
    assertThat(value("cactusseam_class_first_token_seconds_count{class=\"gold\",}"), is(2.0));
  }

  @Test
  void rare_slow_tokens_show_in_the_tail_quantiles() {
    RequestRecorder recorder = recorder("a", "gold");
    for (int token = 0; token < 5_000; token++) {
      recorder.recordNextToken(Duration.ofMillis(token % 500 == 0 ? 3_000 : 40));
    }

    String series = "cactusseam_account_between_tokens_seconds{account=\"a\",quantile=";
    assertThat(value(series + "\"0.99\",}"), closeTo(0.04, 0.0005));
    assertThat(value(series + "\"0.999\",}"), closeTo(3.0, 0.03));
  }

  @Test
  void values_leave_the_histogram_after_two_windows_and_the_counts_stay() {
    RequestRecorder recorder = recorder("a", "gold");
    String quantile = "cactusseam_account_first_token_seconds{account=\"a\",quantile=\"0.5\",}";
    recorder.recordFirstToken(Duration.ofSeconds(2));

    clock.advance(HistogramReservoir.WINDOW);
    assertThat(value(quantile), closeTo(2.0, 0.02));

    clock.advance(HistogramReservoir.WINDOW);
    assertThat(value(quantile), is(0.0));
    assertThat(value("cactusseam_account_first_token_seconds_count{account=\"a\",}"), is(1.0));
  }

  @Test
  void the_number_of_series_is_bounded() {
    for (int number = 0; number < RequestMetrics.MAX_ACCOUNTS + 500; number++) {
      recorder("account-" + number, "class-" + number).recordRefusal(ResultCode.OVERLOADED);
    }
    recorder("account-3", "class-3").recordRefusal(ResultCode.OVERLOADED);

    String refusals = "cactusseam_account_refusals_total{account=\"";
    String code = "\",code=\"3001\",name=\"overloaded\",}";
    long accounts = lines().stream().filter(line -> line.startsWith(refusals)).count();
    assertThat(accounts, is(RequestMetrics.MAX_ACCOUNTS + 1L));
    assertThat(value(refusals + "other" + code), is(500.0));
    assertThat(value(refusals + "account-3" + code), is(2.0));
    assertThat(metrics.registry().getMetrics().size(), lessThan(6_000));
  }

  @Test
  void every_line_follows_the_exposition_format() {
    recorder("a.b-c_d", "gold").recordRefusal(ResultCode.OVERLOADED);

    List<String> faulty =
        lines().stream()
            .filter(line -> !line.startsWith("# HELP ") && !line.startsWith("# TYPE "))
            .filter(line -> !line.matches("[a-z_]+(\\{([a-z_]+=\"[^\"\\\\\\n]*\",)+})? [0-9.E+-]+"))
            .toList();

    assertThat(faulty, is(List.of()));
    assertThat(lines(), hasItem(containsString("account=\"a.b-c_d\"")));
    assertThat(metrics.expose(), not(containsString("|")));
  }

  @Test
  void counters_and_summaries_have_their_exposition_types() {
    recorder("a", "gold").recordRefusal(ResultCode.OVERLOADED);

    assertThat(lines(), hasItem("# TYPE cactusseam_account_refusals_total counter"));
    assertThat(lines(), hasItem("# TYPE cactusseam_class_first_token_seconds summary"));
  }
}
