package org.cactusseam.logic.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.cactusseam.logic.configuration.ConfigurationFinding.Kind;
import org.cactusseam.model.gateway.CallerLimits;
import org.cactusseam.model.gateway.EngineCapabilities;
import org.cactusseam.model.gateway.GatewayAccount;
import org.cactusseam.model.gateway.GatewayConfiguration;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.GatewayRoute.WeightedService;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.RepeatPolicy;

/**
 * Finds errors, entries that never match and contradicting limits of one configuration. The rules
 * are those by which {@code RouteTable} matches requests and the gateway serves them.
 */
public final class ConfigurationCheck {

  private final GatewayConfiguration configuration;
  private final List<ConfigurationFinding> findings = new ArrayList<>();

  private ConfigurationCheck(GatewayConfiguration configuration) {
    this.configuration = configuration;
  }

  /**
   * Checks a configuration by itself.
   *
   * @param configuration configuration that is to be sent
   * @return findings; empty if there are none
   */
  public static List<ConfigurationFinding> check(GatewayConfiguration configuration) {
    ConfigurationCheck check = new ConfigurationCheck(configuration);
    check.checkRoutes();
    check.checkServices();
    check.checkAccounts();
    check.checkLimits();
    return List.copyOf(check.findings);
  }

  private void add(Kind kind, String entry, String text) {
    findings.add(new ConfigurationFinding(kind, entry, text));
  }

  private void checkRoutes() {
    Set<String> names = new HashSet<>();
    Set<String> matches = new HashSet<>();
    for (GatewayRoute route : configuration.routes()) {
      String entry = "route " + route.name();
      if (!names.add(route.name())) {
        add(Kind.ERROR, entry, "the name is used by another route");
      }
      if (!matches.add(route.host().toLowerCase(Locale.ROOT) + " " + route.pathPrefix())) {
        add(Kind.NEVER_MATCHES, entry, "an earlier route has the same host and path prefix");
      }
      // An empty prefix matches every path.
      if (!route.pathPrefix().isEmpty() && !route.pathPrefix().startsWith("/")) {
        add(Kind.NEVER_MATCHES, entry, "the path prefix does not begin with a slash");
      }
      if (!route.open() && configuration.accounts().filter(List::isEmpty).isPresent()) {
        add(Kind.NEVER_MATCHES, entry, "it needs a key, and there are no accounts");
      }
      checkServicesOf(route, entry);
      checkLimitsOf(route, entry);
    }
  }

  private void checkServicesOf(GatewayRoute route, String entry) {
    long totalWeight = 0;
    for (WeightedService each : route.services()) {
      if (!configuration.services().containsKey(each.service())) {
        add(Kind.ERROR, entry, "the service " + each.service() + " is not configured");
      }
      if (each.weight() < 0) {
        add(Kind.ERROR, entry, "the weight of " + each.service() + " is negative");
      }
      totalWeight += each.weight();
    }
    if (totalWeight <= 0) {
      add(Kind.ERROR, entry, "the weights of its services are 0");
    }
  }

  private void checkLimitsOf(GatewayRoute route, String entry) {
    if (!route.timeout().isPositive()) {
      add(Kind.ERROR, entry, "the time limit is not positive");
    }
    if (route.maximumRuns() < 1) {
      add(Kind.ERROR, entry, "no server may run its requests");
    }
    if (route.targetLatency().compareTo(route.timeout()) > 0) {
      add(Kind.CONTRADICTION, entry, "the target latency is longer than the time limit");
    }
    if (route.maximumEventGap().compareTo(route.timeout()) > 0) {
      add(Kind.CONTRADICTION, entry, "the event gap is longer than the time limit");
    }
    if (route.repetition() == RepeatPolicy.AT_MOST_ONCE && route.maximumRuns() > 1) {
      add(Kind.CONTRADICTION, entry, "several runs are allowed of requests that run at most once");
    }
  }

  private void checkServices() {
    Set<String> used = new HashSet<>();
    configuration.routes().forEach(route -> route.services().forEach(s -> used.add(s.service())));
    for (GatewayService service : configuration.services().values()) {
      String entry = "service " + service.name();
      if (!used.contains(service.name())) {
        add(Kind.NEVER_MATCHES, entry, "no route uses it");
      }
      int slots = service.engine().map(EngineCapabilities::slots).orElse(0);
      if (slots > service.connectionLimit()) {
        add(Kind.CONTRADICTION, entry, "its servers have more slots than they accept connections");
      }
    }
  }

  private void checkAccounts() {
    Set<String> names = new HashSet<>();
    Set<String> keys = new HashSet<>();
    for (GatewayAccount account : configuration.accounts().orElse(List.of())) {
      String entry = "account " + account.name();
      if (!names.add(account.name())) {
        add(Kind.ERROR, entry, "the name is used by another account");
      }
      if (!Collections.disjoint(keys, account.keys())) {
        // Keys are secrets and must not be shown.
        add(Kind.ERROR, entry, "one of its keys belongs to an earlier account as well");
      }
      keys.addAll(account.keys());
      // An account of one region beside routes of others is usual.
      boolean isServed =
          configuration.routes().isEmpty()
              || configuration.routes().stream().anyMatch(route -> shareRegion(route, account));
      if (!isServed) {
        add(Kind.NEVER_MATCHES, entry, "it shares no region with any route");
      }
    }
  }

  private static boolean shareRegion(GatewayRoute route, GatewayAccount account) {
    return account.regions().isEmpty()
        || route.regions().isEmpty()
        || !Collections.disjoint(account.regions(), route.regions());
  }

  private void checkLimits() {
    CallerLimits limits = configuration.limits();
    if (limits.headerBytes() <= 0
        || limits.bodyBytes() <= 0
        || limits.idleTimeout().compareTo(Duration.ZERO) <= 0) {
      add(Kind.ERROR, "limits", "a limit is not positive");
    }
  }
}
