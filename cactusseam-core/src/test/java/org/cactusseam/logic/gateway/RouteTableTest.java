package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that are forwarded or refused contrary to the configuration. */
class RouteTableTest {

  private final RouteTable table = new RouteTable();

  private RouteDecision decide(String host, String path, String key) {
    return table.decide(GatewayFixtures.request(host, path, Optional.ofNullable(key)));
  }

  @Test
  void nothing_is_decided_before_the_first_configuration() {
    assertThat(
        decide("salon.example", "/a/x", "key-1"), instanceOf(RouteDecision.NotConfigured.class));
  }

  @ParameterizedTest(name = "{0}{1} goes to {2}")
  @CsvSource({
    "salon.example, /a/x, short",
    "salon.example, /a/b/x, long",
    "SALON.example, /a/b/, long",
    "salon.example, /a/bx, short"
  })
  void the_longest_prefix_of_the_host_selects_the_route(String host, String path, String name) {
    table.apply(
        GatewayFixtures.configuration(
            1,
            GatewayFixtures.route("short", "/a/", false),
            GatewayFixtures.route("long", "/a/b/", false)));

    RouteDecision.Accepted accepted = (RouteDecision.Accepted) decide(host, path, "key-2");

    assertThat(accepted.route().name(), is(name));
    assertThat(accepted.account().orElseThrow().name(), is("salon-nord"));
  }

  @ParameterizedTest(name = "{0}{1}")
  @CsvSource({"other.example, /a/x", "salon.example, /b/x", "salon.example, /a"})
  void a_request_without_a_route_is_not_forwarded(String host, String path) {
    table.apply(GatewayFixtures.configuration(1, GatewayFixtures.route("only", "/a/", false)));

    assertThat(decide(host, path, "key-1"), instanceOf(RouteDecision.NoRoute.class));
  }

  @Test
  void an_unknown_key_is_rejected_unless_the_route_is_open() {
    table.apply(
        GatewayFixtures.configuration(
            1,
            GatewayFixtures.route("closed", "/a/", false),
            GatewayFixtures.route("open", "/o/", true)));

    assertThat(
        decide("salon.example", "/a/x", "stolen"), instanceOf(RouteDecision.UnknownKey.class));
    assertThat(decide("salon.example", "/a/x", null), instanceOf(RouteDecision.UnknownKey.class));
    assertThat(decide("salon.example", "/o/x", null), instanceOf(RouteDecision.Accepted.class));
  }

  /** Guards against a record that arrives late or comes from a peer that lags behind. */
  @Test
  void an_older_configuration_never_replaces_a_newer_one() {
    table.apply(GatewayFixtures.configuration(7, GatewayFixtures.route("new", "/a/", false)));

    boolean applied =
        table.apply(GatewayFixtures.configuration(6, GatewayFixtures.route("old", "/a/", false)));

    assertThat(applied, is(false));
    assertThat(table.version(), is(Optional.of(7L)));
  }
}
