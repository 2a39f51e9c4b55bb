package org.cactusseam.logic.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.cactusseam.logic.configuration.ConfigurationFinding.Kind;
import org.cactusseam.model.gateway.GatewayAccount;
import org.cactusseam.model.gateway.GatewayConfiguration;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.GatewayService;

/** Lists what a configuration changes against the one in force. */
public final class ConfigurationDifferences {

  private static final String KEYS = "keys";

  private static final List<Field<GatewayRoute>> ROUTE_FIELDS =
      List.of(
          new Field<>("host", GatewayRoute::host),
          new Field<>("path prefix", GatewayRoute::pathPrefix),
          new Field<>("repetition", GatewayRoute::repetition),
          new Field<>("time limit", GatewayRoute::timeout),
          new Field<>("target latency", GatewayRoute::targetLatency),
          new Field<>("event gap", GatewayRoute::maximumEventGap),
          new Field<>("rank", GatewayRoute::rank),
          new Field<>("runs", GatewayRoute::maximumRuns),
          new Field<>("open", GatewayRoute::open),
          new Field<>("services", GatewayRoute::services),
          new Field<>("regions", GatewayRoute::regions));

  private static final List<Field<GatewayService>> SERVICE_FIELDS =
      List.of(
          new Field<>("health path", GatewayService::healthPath),
          new Field<>("connections", GatewayService::connectionLimit),
          new Field<>("cold rate", GatewayService::coldRequestsPerSecond),
          new Field<>("engine", GatewayService::engine));

  private static final List<Field<GatewayAccount>> ACCOUNT_FIELDS =
      List.of(
          new Field<>(KEYS, GatewayAccount::keys),
          new Field<>("rank", GatewayAccount::rank),
          new Field<>("regions", GatewayAccount::regions));

  private final List<ConfigurationFinding> findings = new ArrayList<>();

  private record Field<T>(String name, Function<T, Object> value) {}

  private ConfigurationDifferences() {}

  /**
   * Compares two configurations.
   *
   * @param next configuration that is to be sent
   * @param current configuration in force
   * @return differences, and an error if the next one would be ignored because of its version
   */
  public static List<ConfigurationFinding> between(
      GatewayConfiguration next, GatewayConfiguration current) {
    ConfigurationDifferences differences = new ConfigurationDifferences();
    differences.compare(next, current);
    return List.copyOf(differences.findings);
  }

  private void compare(GatewayConfiguration next, GatewayConfiguration current) {
    if (next.version() <= current.version()) {
      findings.add(
          new ConfigurationFinding(
              Kind.ERROR,
              "version",
              next.version() + " is not higher than " + current.version() + " and is ignored"));
    }
    compare(
        "route",
        byName(next.routes(), GatewayRoute::name),
        byName(current.routes(), GatewayRoute::name),
        ROUTE_FIELDS);
    compare("service", next.services(), current.services(), SERVICE_FIELDS);
    compare(
        "account",
        byName(next.accounts().orElse(List.of()), GatewayAccount::name),
        byName(current.accounts().orElse(List.of()), GatewayAccount::name),
        ACCOUNT_FIELDS);
    if (next.accounts().isPresent() != current.accounts().isPresent()) {
      add("accounts", next.accounts().isPresent() ? "keys are needed" : "keys are not needed");
    }
    if (!next.limits().equals(current.limits())) {
      add("limits", current.limits() + " becomes " + next.limits());
    }
  }

  private void add(String entry, String text) {
    findings.add(new ConfigurationFinding(Kind.DIFFERENCE, entry, text));
  }

  private static <T> Map<String, T> byName(List<T> entries, Function<T, String> name) {
    Map<String, T> byName = new LinkedHashMap<>();
    entries.forEach(entry -> byName.put(name.apply(entry), entry));
    return byName;
  }

  private <T> void compare(
      String kind, Map<String, T> next, Map<String, T> current, List<Field<T>> fields) {
    next.forEach(
        (name, entry) ->
            Optional.ofNullable(current.get(name))
                .ifPresentOrElse(
                    old -> compareFields(kind + " " + name, entry, old, fields),
                    () -> add(kind + " " + name, "added")));
    current.keySet().stream()
        .filter(name -> !next.containsKey(name))
        .forEach(name -> add(kind + " " + name, "removed"));
  }

  private <T> void compareFields(String entry, T next, T current, List<Field<T>> fields) {
    for (Field<T> field : fields) {
      Object before = field.value().apply(current);
      Object after = field.value().apply(next);
      if (!before.equals(after)) {
        // Keys are secrets and must not be shown.
        boolean isSecret = field.name().equals(KEYS);
        add(entry, field.name() + (isSecret ? " changed" : ": " + before + " becomes " + after));
      }
    }
  }
}
