package org.cactusseam.cli;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cactusseam.logic.admission.AdmissionSettings;
import org.cactusseam.logic.admission.ServerChoice;
import org.cactusseam.logic.query.ResultTable;
import org.cactusseam.logic.replay.Deployment;
import org.cactusseam.logic.replay.ReplayReport;
import org.cactusseam.logic.replay.ReplayRunner;
import org.cactusseam.logic.replay.ReplaySettings;
import org.cactusseam.logic.replay.TraceFormat;
import org.cactusseam.logic.replay.TraceLine;

/**
 * Replays a trace once for each admission policy: the preset of the deployment and the baselines.
 */
public final class PolicyReplay implements ReplayCommand.Runner {

  private static final List<String> COLUMNS =
      List.of(
          "policy",
          "kind",
          "name",
          "requests",
          "refused",
          "failed",
          "preemptions",
          "stall-ms",
          "gap-p95-us",
          "gap-p99-us",
          "first-p50-ms",
          "first-p95-ms",
          "first-p99-ms",
          "rare-p95-ms",
          "good",
          "good-tokens",
          "while-out",
          "while-returning",
          "cross-region-bytes",
          "cold-violations");

  private static final double MICROS_PER_MILLI = 1_000;

  /**
   * Returns a reference deployment.
   *
   * @param name name of the deployment
   * @return deployment, or none if the name is unknown
   */
  static Option<Deployment> deployment(String name) {
    return switch (name) {
      case "zopfwerk" -> Option.of(Deployment.zopfwerk());
      case "flagline" -> Option.of(Deployment.flagline());
      default -> Option.none();
    };
  }

  @Override
  public Either<List<String>, ResultTable> run(ReplayCommand.Request request) {
    Option<Deployment> deployment = deployment(request.deployment());
    if (deployment.isEmpty()) {
      return Either.left(List.of("unknown deployment " + request.deployment()));
    }
    Map<String, AdmissionSettings> policies = policies(deployment.get());
    List<String> unknown =
        request.policies().stream().filter(name -> !policies.containsKey(name)).toList();
    if (!unknown.isEmpty()) {
      return Either.left(
          List.of("unknown policies " + unknown + ", expected some of " + policies.keySet()));
    }
    try {
      List<TraceLine> trace =
          TraceFormat.read(new StringReader(String.join("\n", request.trace())));
      if (!request.policies().isEmpty()) {
        policies.keySet().retainAll(request.policies());
      }
      return Either.right(replay(trace, deployment.get(), policies, request.seed()));
    } catch (IOException | IllegalArgumentException e) {
      return Either.left(List.of("invalid trace: " + e.getMessage()));
    }
  }

  private static Map<String, AdmissionSettings> policies(Deployment deployment) {
    Map<String, AdmissionSettings> policies = new LinkedHashMap<>();
    policies.put("preset", deployment.preset());
    for (ServerChoice choice : ServerChoice.values()) {
      if (choice != ServerChoice.EXPECTED_LOAD) {
        String name = choice.name().toLowerCase(Locale.ROOT).replace('_', '-');
        policies.put(name, AdmissionSettings.baseline(choice));
      }
    }
    return policies;
  }

  private static ResultTable replay(
      List<TraceLine> trace,
      Deployment deployment,
      Map<String, AdmissionSettings> policies,
      long seed) {
    List<List<ResultTable.Cell>> rows = new ArrayList<>();
    policies.forEach(
        (name, admission) -> {
          ReplaySettings defaults = ReplaySettings.of(deployment, admission);
          ReplaySettings settings =
              new ReplaySettings(
                  deployment,
                  admission,
                  seed,
                  defaults.reportPeriodMillis(),
                  defaults.reportLagMillis(),
                  defaults.cacheEventLagMillis(),
                  defaults.cacheEventLossFraction(),
                  false);
          ReplayReport report = ReplayRunner.run(trace, settings);
          report.rows().forEach(row -> rows.add(row(name, row, report.coldViolations())));
        });
    return new ResultTable(COLUMNS, rows);
  }

  private static List<ResultTable.Cell> row(
      String policy, ReplayReport.Row row, long coldViolations) {
    return ResultTable.row(
        policy,
        row.kind(),
        row.name(),
        row.requests(),
        row.refused(),
        row.failed(),
        row.preemptions(),
        row.stallMillis(),
        Math.round(row.gapP95() * MICROS_PER_MILLI),
        Math.round(row.gapP99() * MICROS_PER_MILLI),
        Math.round(row.firstP50()),
        Math.round(row.firstP95()),
        Math.round(row.firstP99()),
        Math.round(row.rareP95()),
        row.goodRequests(),
        row.goodTokens(),
        row.begunWhileOut(),
        row.begunWhileReturning(),
        row.crossRegionBytes(),
        coldViolations);
  }
}
