package org.cactusseam.logic.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cactusseam.logic.configuration.ConfigurationFinding.Kind;
import org.cactusseam.model.gateway.CallerLimits;
import org.cactusseam.model.gateway.GatewayAccount;
import org.cactusseam.model.gateway.GatewayConfiguration;
import org.cactusseam.model.gateway.GatewayService;
import org.junit.jupiter.api.Test;

/** Guards against changes of a configuration that the operator is not shown, and shown secrets. */
class ConfigurationDifferencesTest {

  private static GatewayConfiguration configuration(long version, int connections, String key) {
    return new GatewayConfiguration(
        version,
        List.of(),
        Map.of("plain", new GatewayService("plain", "/healthz", connections, 0, Optional.empty())),
        Optional.of(
            List.of(new GatewayAccount("nord", Set.of(key), OptionalInt.empty(), Set.of()))),
        CallerLimits.INITIAL);
  }

  @Test
  void changed_fields_are_listed_without_keys() {
    assertThat(
        ConfigurationDifferences.between(
            configuration(2, 90, "secret-2"), configuration(1, 80, "secret-1")),
        containsInAnyOrder(
            new ConfigurationFinding(
                Kind.DIFFERENCE, "service plain", "connections: 80 becomes 90"),
            new ConfigurationFinding(Kind.DIFFERENCE, "account nord", "keys changed")));
  }

  @Test
  void an_unchanged_configuration_with_a_higher_version_has_no_findings() {
    assertThat(
        ConfigurationDifferences.between(configuration(2, 80, "k"), configuration(1, 80, "k")),
        is(empty()));
  }
}
