package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cactusseam.model.gateway.ServerInstance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against requests to leaving servers, and against servers that stay excluded for good. */
class LeavingServersTest {

  private static final Instant START = Instant.EPOCH;

  private static final ServerInstance SERVER = GatewayFixtures.server("s-1", "engines", "ost-wien");

  private final LeavingServers leavingServers = new LeavingServers();

  /**
   * Guards against a ready entry that is older than the report that the server is leaving: entries
   * lag behind, and other VMs forward them.
   */
  @ParameterizedTest(name = "{0}, ready entry {1} ms later: leaving {2}")
  @CsvSource({
    "REPORTED, 1000, true",
    "REPORTED, 3000, true",
    "REPORTED, 3001, false",
    "ENTRY_GONE, 1, false",
    "ANNOUNCED, 1, false",
    "STATED, 600000, true"
  })
  void a_ready_entry_clears_the_leaving_mark_unless_it_may_be_older_than_the_report(
      LeavingServers.Source source, long laterMillis, boolean leaving) {
    leavingServers.markLeaving(SERVER, source, START);

    leavingServers.clearIfOlder("s-1", START.plusMillis(laterMillis));

    assertThat(leavingServers.isLeaving("s-1"), is(leaving));
  }

  /** A statement that arrives after another source must not be cleared like that source. */
  @ParameterizedTest
  @EnumSource(LeavingServers.Source.class)
  void a_statement_outweighs_every_other_source(LeavingServers.Source source) {
    leavingServers.markLeaving(SERVER, source, START);
    leavingServers.markLeaving(SERVER, LeavingServers.Source.STATED, START);
    leavingServers.markLeaving(SERVER, source, START);

    leavingServers.clearIfOlder("s-1", START.plusSeconds(20));
    leavingServers.clearReplaced("engines");

    assertThat(leavingServers.isLeaving("s-1"), is(true));
  }

  /**
   * A server may serve for long after it has stated that it leaves, also while the store is away.
   */
  @ParameterizedTest
  @CsvSource({"same process, true", "new process, false", "not listed, false"})
  void a_statement_holds_while_the_process_is_listed(String listing, boolean leaving) {
    ServerTable listed = new ServerTable();
    switch (listing) {
      case "same process" -> listed.put(SERVER, START);
      case "new process" -> listed.put(GatewayFixtures.restarted(SERVER), START);
      default -> listed.put(GatewayFixtures.server("s-2", "engines", "ost-wien"), START);
    }
    leavingServers.markLeaving(SERVER, LeavingServers.Source.STATED, START);

    leavingServers.tick(listed, START.plusSeconds(31));

    assertThat(leavingServers.isLeaving("s-1"), is(leaving));
  }

  @Test
  void a_new_process_with_the_same_id_is_not_leaving() {
    leavingServers.markLeaving(SERVER, LeavingServers.Source.REPORTED, START);

    leavingServers.clear("s-1");

    assertThat(leavingServers.isLeaving("s-1"), is(false));
  }

  /** Guards against runs that are not copied because the entry of their engine has disappeared. */
  @Test
  void a_leaving_server_can_still_be_found_when_it_is_no_longer_listed() {
    leavingServers.markLeaving(SERVER, LeavingServers.Source.ENTRY_GONE, START);

    assertThat(leavingServers.find("s-1"), is(Optional.of(SERVER)));
    assertThat(leavingServers.find("s-2"), is(Optional.empty()));
  }

  /** Guards against marks that pile up while servers come and go. */
  @Test
  void an_old_mark_is_dropped_without_another_departure() {
    leavingServers.markLeaving(SERVER, LeavingServers.Source.ENTRY_GONE, START);

    leavingServers.tick(new ServerTable(), START.plus(Duration.ofSeconds(31)));

    assertThat(leavingServers.isLeaving("s-1"), is(false));
  }
}
