package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cactusseam.model.gateway.ServerInstance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests to leaving servers, and against dropping live servers. */
class ServerTableTest {

  private static final Instant START = Instant.EPOCH;

  private final ServerTable table = new ServerTable();
  private final ServerInstance server = GatewayFixtures.server("s-1", "engines", "ost-wien");

  @Test
  void a_leaving_server_is_not_usable() {
    table.put(server, START);
    table.put(GatewayFixtures.leaving(server), START);

    assertThat(table.usable("engines"), is(empty()));
  }

  @Test
  void a_removed_entry_is_not_usable() {
    table.put(server, START);
    table.remove("s-1", START.plusSeconds(60));

    assertThat(table.usable("engines"), is(empty()));
  }

  @ParameterizedTest(name = "{0} ms after the return of the store: {1} usable servers")
  @CsvSource({"0, 1", "2199, 1", "2200, 0"})
  void an_entry_that_lapsed_during_a_store_outage_is_kept_for_the_grace_period(
      long laterMillis, int servers) {
    table.put(server, START);
    table.storeReturned(START);
    table.remove("s-1", START);

    table.tick(START.plusMillis(laterMillis));

    assertThat(table.usable("engines"), hasSize(servers));
  }

  /** Guards against needless simultaneous copies of all runs when entries have only lapsed. */
  @Test
  void a_server_is_gone_if_its_entry_is_still_missing_after_the_grace_period() {
    table.put(server, START);
    table.storeReturned(START);

    assertThat(table.remove("s-1", START), is(Optional.empty()));
    assertThat(table.tick(START.plusMillis(2_199)), is(empty()));
    assertThat(table.tick(START.plusMillis(2_200)), contains(server));
  }

  /** Guards against requests to a server that announced before the outage that it is leaving. */
  @Test
  void a_leaving_server_is_not_kept_after_a_store_outage() {
    table.put(GatewayFixtures.leaving(server), START);
    table.storeReturned(START);
    table.remove("s-1", START);

    assertThat(table.find("s-1").isPresent(), is(false));
  }

  @Test
  void an_entry_restored_within_the_grace_period_stays() {
    table.put(server, START);
    table.storeReturned(START);
    table.remove("s-1", START);
    table.put(server, START.plusSeconds(1));

    table.tick(START.plusSeconds(5));

    assertThat(table.usable("engines"), hasSize(1));
  }

  /** Guards against continuing a run at a restarted process, which no longer has its state. */
  @Test
  void a_restarted_server_with_the_same_id_is_another_process() {
    table.put(server, START);

    boolean isNew = table.put(GatewayFixtures.restarted(server), START);

    assertThat(isNew, is(true));
    assertThat(table.isUsable(server), is(false));
  }

  @Test
  void an_evacuated_failure_domain_has_no_usable_servers() {
    table.put(server, START);

    table.setEvacuated("ost-wien", true);
    assertThat(table.usable("engines"), is(empty()));

    table.setEvacuated("ost-wien", false);
    assertThat(table.usable("engines"), hasSize(1));
  }

  @Test
  void a_server_warms_up_for_two_seconds_after_it_is_first_listed() {
    table.put(server, START);

    assertThat(table.isWarmingUp("s-1", START.plusMillis(1_999)), is(true));
    assertThat(
        table.isWarmingUp("s-1", START.plus(ServerTable.WARM_UP).plus(Duration.ofMillis(1))),
        is(false));
  }

  /**
   * Guards against a server that is avoided as cold until its entry is read again, which takes up
   * to 10 s where many gateways share the reads.
   */
  @Test
  void a_server_is_no_longer_cold_when_the_time_that_its_entry_states_is_over() {
    ServerInstance server = GatewayFixtures.server("s-1", "engines", "ost-wien");
    table.put(
        new ServerInstance(
            server.id(),
            server.startedAtMillis(),
            server.service(),
            server.host(),
            server.port(),
            server.failureDomain(),
            server.slots(),
            false,
            Duration.ofSeconds(3),
            server.version()),
        START);

    assertThat(table.isWarmingUp("s-1", START.plusMillis(2_999)), is(true));
    assertThat(table.isWarmingUp("s-1", START.plusMillis(3_001)), is(false));
  }
}
