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

/** Guards against requests to servers that leave, and against losing servers that live. */
class ServerTableTest {

  private static final Instant START = Instant.EPOCH;

  private final ServerTable table = new ServerTable();
  private final ServerInstance server = GatewayFixtures.server("s-1", "engines", "ost-wien");

  @Test
  void a_leaving_server_gets_nothing_new() {
    table.put(server, START);
    table.put(GatewayFixtures.leaving(server), START);

    assertThat(table.usable("engines"), is(empty()));
  }

  @Test
  void an_entry_that_disappears_names_no_server() {
    table.put(server, START);
    table.remove("s-1", START.plusSeconds(60));

    assertThat(table.usable("engines"), is(empty()));
  }

  @ParameterizedTest(name = "{0} ms after the return of the store: {1} servers")
  @CsvSource({"0, 1", "2199, 1", "2200, 0"})
  void an_entry_that_lapsed_while_the_store_was_away_is_kept_for_a_time(
      long laterMillis, int servers) {
    table.put(server, START);
    table.storeReturned(START);
    table.remove("s-1", START);

    table.tick(START.plusMillis(laterMillis));

    assertThat(table.usable("engines"), hasSize(servers));
  }

  /** Guards runs that would be copied in vain, all at once, when entries only lapsed. */
  @Test
  void a_server_is_taken_as_gone_when_its_entry_is_missing_after_the_grace() {
    table.put(server, START);
    table.storeReturned(START);

    assertThat(table.remove("s-1", START), is(Optional.empty()));
    assertThat(table.tick(START.plusMillis(2_199)), is(empty()));
    assertThat(table.tick(START.plusMillis(2_200)), contains(server));
  }

  /** Guards against requests to a server that has announced its leaving before the outage. */
  @Test
  void a_leaving_server_is_not_kept_after_an_outage_of_the_store() {
    table.put(GatewayFixtures.leaving(server), START);
    table.storeReturned(START);
    table.remove("s-1", START);

    assertThat(table.find("s-1").isPresent(), is(false));
  }

  @Test
  void an_entry_that_is_back_stays_after_the_grace() {
    table.put(server, START);
    table.storeReturned(START);
    table.remove("s-1", START);
    table.put(server, START.plusSeconds(1));

    table.tick(START.plusSeconds(5));

    assertThat(table.usable("engines"), hasSize(1));
  }

  /** Guards against a run that continues at a process that has forgotten it. */
  @Test
  void a_server_that_started_again_under_its_identity_is_another_run() {
    table.put(server, START);

    boolean isNew = table.put(GatewayFixtures.reborn(server), START);

    assertThat(isNew, is(true));
    assertThat(table.isUsable(server), is(false));
  }

  @Test
  void a_failure_domain_that_is_out_gets_nothing_until_it_is_back() {
    table.put(server, START);

    table.setEvacuated("ost-wien", true);
    assertThat(table.usable("engines"), is(empty()));

    table.setEvacuated("ost-wien", false);
    assertThat(table.usable("engines"), hasSize(1));
  }

  @Test
  void a_server_warms_up_for_a_time_after_its_start() {
    table.put(server, START);

    assertThat(table.isWarmingUp("s-1", START.plusMillis(1_999)), is(true));
    assertThat(
        table.isWarmingUp("s-1", START.plus(ServerTable.WARM_UP).plus(Duration.ofMillis(1))),
        is(false));
  }
}
