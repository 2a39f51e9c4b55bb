package org.cactusseam.logic.replay;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cactusseam.logic.admission.AdmissionFeature;
import org.cactusseam.logic.admission.AdmissionSettings;
import org.cactusseam.logic.admission.ServerChoice;

/**
 * Command-line tool that compares admission settings with the baselines over several seeds and
 * prints a table. Arguments: deployment, trace shape, first seed, number of seeds, {@code faults}
 * or {@code nofaults}, and optionally {@code switches} to measure with each feature disabled in
 * turn, or changes of the preset such as {@code headroom=0.1,reservedPart=0.5}, one candidate per
 * argument.
 */
final class MeasureDecisions {

  private final Deployment deployment;
  private final TraceShape shape;
  private final long firstSeed;
  private final int seeds;
  private final boolean faults;

  private MeasureDecisions(String[] arguments) {
    deployment = arguments[0].equals("zopfwerk") ? Deployment.zopfwerk() : Deployment.flagline();
    shape = TraceShape.valueOf(arguments[1].toUpperCase(Locale.ROOT));
    firstSeed = Long.parseLong(arguments[2]);
    seeds = Integer.parseInt(arguments[3]);
    faults = arguments[4].equals("faults");
  }

  public static void main(String[] arguments) {
    MeasureDecisions measure = new MeasureDecisions(arguments);
    String mode = arguments.length > 5 ? arguments[5] : "baselines";
    measure.print(
        switch (mode) {
          case "baselines" -> measure.baselineCandidates();
          case "switches" -> measure.featureCandidates();
          default -> measure.changedCandidates(List.of(arguments).subList(5, arguments.length));
        });
  }

  private Map<String, AdmissionSettings> baselineCandidates() {
    Map<String, AdmissionSettings> result = new LinkedHashMap<>();
    result.put("preset", deployment.preset());
    for (ServerChoice choice : ServerChoice.values()) {
      if (choice != ServerChoice.EXPECTED_LOAD) {
        AdmissionSettings baseline = AdmissionSettings.baseline(choice);
        result.put(choice + " limit", baseline);
        result.put(
            choice + " open",
            baseline.with(EnumSet.of(AdmissionFeature.UNLIMITED_DISPATCH), choice));
      }
    }
    return result;
  }

  /**
   * Parses changes of the preset such as {@code headroom=0.1,reservedPart=0.5}, one candidate each.
   */
  private Map<String, AdmissionSettings> changedCandidates(List<String> changes) {
    Map<String, AdmissionSettings> result = new LinkedHashMap<>();
    result.put("preset", deployment.preset());
    for (String change : changes) {
      Map<String, String> values = Splitter.on(',').withKeyValueSeparator('=').split(change);
      result.put(change, applyChanges(deployment.preset(), values));
    }
    return result;
  }

  private static AdmissionSettings applyChanges(
      AdmissionSettings preset, Map<String, String> values) {
    JsonMapper mapper = new JsonMapper();
    ObjectNode tree = mapper.valueToTree(preset);
    values.forEach(
        (name, value) -> {
          if (!tree.has(name)) {
            throw new IllegalArgumentException("unknown admission setting " + name);
          }
          tree.put(name, Double.valueOf(value));
        });
    return mapper.convertValue(tree, AdmissionSettings.class);
  }

  private Map<String, AdmissionSettings> featureCandidates() {
    Map<String, AdmissionSettings> result = new LinkedHashMap<>();
    result.put("preset", deployment.preset());
    for (AdmissionFeature feature : deployment.preset().features()) {
      result.put("no " + feature, deployment.preset().without(feature));
    }
    return result;
  }

  private void print(Map<String, AdmissionSettings> candidates) {
    System.out.printf(
        "%s %s seeds %d..%d faults %s%n",
        deployment.name(), shape, firstSeed, firstSeed + seeds - 1, faults);
    System.out.printf(
        "%-38s %7s %9s %6s %6s %8s %7s %8s %8s %8s %6s %6s %6s %6s %8s %6s %6s %6s %5s"
            + " %5s %6s%n",
        "settings",
        "preempt",
        "stall_s",
        "gap95",
        "gap99",
        "gap99.9",
        "first50",
        "first95",
        "first99",
        "wfirst95",
        "rare95",
        "sent",
        "good",
        "wgood",
        "goodtok",
        "refus",
        "fail",
        "cold",
        "out%",
        "ret%",
        "crossMB");
    candidates.entrySet().parallelStream()
        .map(entry -> Map.entry(entry.getKey(), formatLine(entry.getKey(), entry.getValue())))
        .toList()
        .forEach(entry -> System.out.println(entry.getValue()));
    printEmptySystemBurst();
  }

  /** Prints the reference latency of the burst of the otherwise idle account without other load. */
  private void printEmptySystemBurst() {
    List<Double> values = new ArrayList<>();
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      List<TraceLine> rare =
          TraceGenerator.generate(deployment, shape, seed, false).stream()
              .filter(line -> line instanceof TraceLine.Request request && request.rare())
              .toList();
      values.add(
          ReplayRunner.run(rare, ReplaySettings.of(deployment, deployment.preset()))
              .total()
              .rareP95());
    }
    System.out.printf("rare burst in an empty system: p95 %.0f ms%n", mean(values));
  }

  private String formatLine(String name, AdmissionSettings settings) {
    List<ReplayReport> reports = new ArrayList<>();
    long out = 0;
    long outReference = 0;
    long returning = 0;
    long returningReference = 0;
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      List<TraceLine> trace = TraceGenerator.generate(deployment, shape, seed, faults);
      ReplaySettings replay = ReplaySettings.of(deployment, settings);
      ReplayReport report = ReplayRunner.run(trace, replay);
      reports.add(report);
      if (faults) {
        ReplayReport reference = ReplayRunner.run(trace, replay.withDomainOut());
        out += report.total().begunWhileOut();
        outReference += reference.total().begunWhileOut();
        returning += report.total().begunWhileReturning();
        returningReference += reference.total().begunWhileReturning();
      }
    }
    List<ReplayReport.Row> totals = reports.stream().map(ReplayReport::total).toList();
    List<ReplayReport.Row> watched =
        reports.stream()
            .flatMap(report -> report.rows().stream())
            .filter(row -> row.name().equals("watched"))
            .toList();
    return String.format(
        Locale.ROOT,
        "%-38s %7d %9.1f %6.0f %6.0f %8.0f %7.0f %8.0f %8.0f %8.0f %6.0f %6d %6d %6d"
            + " %8d %6d %6d %6d %5.1f %5.1f %6.1f",
        name,
        sum(totals, ReplayReport.Row::preemptions),
        sum(totals, ReplayReport.Row::stallMillis) / 1_000.0,
        average(totals, ReplayReport.Row::gapP95),
        average(totals, ReplayReport.Row::gapP99),
        average(totals, ReplayReport.Row::gapP999),
        average(totals, ReplayReport.Row::firstP50),
        average(totals, ReplayReport.Row::firstP95),
        average(totals, ReplayReport.Row::firstP99),
        average(watched, ReplayReport.Row::firstP95),
        average(totals, ReplayReport.Row::rareP95),
        sum(totals, ReplayReport.Row::requests),
        sum(totals, ReplayReport.Row::goodRequests),
        sum(watched, ReplayReport.Row::goodRequests),
        sum(totals, ReplayReport.Row::goodTokens),
        sum(totals, ReplayReport.Row::refused),
        sum(totals, ReplayReport.Row::failed),
        reports.stream().mapToLong(ReplayReport::coldViolations).sum(),
        percent(out, outReference),
        percent(returning, returningReference),
        sum(totals, ReplayReport.Row::crossRegionBytes) / 1e6);
  }

  private static double percent(long value, long whole) {
    return whole == 0 ? 0 : 100.0 * value / whole;
  }

  private static long sum(
      List<ReplayReport.Row> rows, java.util.function.ToLongFunction<ReplayReport.Row> field) {
    return rows.stream().mapToLong(field).sum();
  }

  private static double average(
      List<ReplayReport.Row> rows, java.util.function.ToDoubleFunction<ReplayReport.Row> field) {
    return rows.stream().mapToDouble(field).average().orElse(0);
  }

  private static double mean(List<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }
}
