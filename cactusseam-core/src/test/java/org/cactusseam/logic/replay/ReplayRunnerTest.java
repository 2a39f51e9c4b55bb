package org.cactusseam.logic.replay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.cactusseam.logic.admission.AdmissionFeature;
import org.cactusseam.logic.admission.AdmissionSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against replay results that cannot be reproduced or that omit requests, because admission
 * settings are chosen by these results.
 */
class ReplayRunnerTest {

  private static final long SEED = 7;

  private static ReplayReport run(
      Deployment deployment, TraceShape shape, AdmissionSettings settings) {
    List<TraceLine> trace = TraceGenerator.generate(deployment, shape, SEED, true);
    return ReplayRunner.run(trace, ReplaySettings.of(deployment, settings));
  }

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource({"zopfwerk, CROWDED", "flagline, BURST"})
  void the_same_seed_gives_the_same_report(String name, TraceShape shape) {
    Deployment deployment = name.equals("zopfwerk") ? Deployment.zopfwerk() : Deployment.flagline();

    ReplayReport first = run(deployment, shape, deployment.preset());

    assertThat(run(deployment, shape, deployment.preset()).toJson(), is(first.toJson()));
  }

  /**
   * Guards against a test that passes trivially because its trace never reaches the cold limit; it
   * therefore also replays without the limit.
   */
  @Test
  void the_cold_limit_prevents_overload_of_cold_servers() {
    Deployment deployment = Deployment.zopfwerk();
    AdmissionSettings without = deployment.preset().without(AdmissionFeature.COLD_LIMIT);

    assertThat(run(deployment, TraceShape.BURST, deployment.preset()).coldViolations(), is(0L));
    assertThat(run(deployment, TraceShape.BURST, without).coldViolations(), is(greaterThan(0L)));
  }

  /** Guards against requests that are lost between the trace and the report. */
  @Test
  void each_request_is_answered_refused_or_failed() {
    Deployment deployment = Deployment.flagline();
    ReplayReport report = run(deployment, TraceShape.CALM, deployment.preset());
    ReplayReport.Row total = report.total();

    assertThat(total.goodRequests() + total.refused() + total.failed(), is(total.requests()));
    long accounts =
        report.rows().stream()
            .filter(row -> row.kind().equals("account"))
            .mapToLong(ReplayReport.Row::requests)
            .sum();
    assertThat(accounts, is(total.requests()));
    assertThat(report.toTable(), containsString("member-01"));
  }

  @Test
  void the_remaining_domains_serve_while_one_domain_stays_out() {
    Deployment deployment = Deployment.zopfwerk();
    List<TraceLine> trace = TraceGenerator.generate(deployment, TraceShape.CALM, SEED, true);
    ReplaySettings settings = ReplaySettings.of(deployment, deployment.preset());

    ReplayReport.Row with = ReplayRunner.run(trace, settings).total();
    ReplayReport.Row without = ReplayRunner.run(trace, settings.withDomainOut()).total();

    assertThat(without.gapP99(), is(greaterThan(with.gapP99())));
    assertThat(without.goodRequests(), is(greaterThan(with.requests() * 95 / 100)));
  }

  @Test
  void another_seed_gives_another_trace() {
    Deployment deployment = Deployment.zopfwerk();

    assertThat(
        TraceGenerator.generate(deployment, TraceShape.CALM, SEED, false),
        is(not(TraceGenerator.generate(deployment, TraceShape.CALM, SEED + 1, false))));
  }
}
