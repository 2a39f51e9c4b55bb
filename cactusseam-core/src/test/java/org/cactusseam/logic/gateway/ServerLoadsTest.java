package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.cactusseam.logic.gateway.ServerLoads.ServerLoad;
import org.junit.jupiter.api.Test;

/** Guards against servers that seem full because of VMs that no longer exist. */
class ServerLoadsTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  private final ServerLoads loads = new ServerLoads();

  private void receive(String peer, int runs) {
    loads.setPeerLoads(peer, Map.of("e-1", new ServerLoad(runs, runs * 10, 0)), Instant.EPOCH);
  }

  @Test
  void the_loads_of_an_ended_peer_are_dropped_and_those_of_the_others_kept() {
    receive("vm-2", 3);
    receive("vm-3", 4);

    loads.removePeer("vm-2");
    loads.removePeer("vm-2");

    assertThat(loads.total("e-1"), is(new ServerLoad(4, 40, 0)));
  }

  @Test
  void the_loads_of_a_silent_peer_expire() {
    receive("vm-2", 3);

    loads.tick(TIMEOUT, Instant.EPOCH.plus(TIMEOUT));
    assertThat(loads.total("e-1").runs(), is(3));
    loads.tick(TIMEOUT, Instant.EPOCH.plus(TIMEOUT).plusMillis(1));
    assertThat(loads.total("e-1"), is(ServerLoad.NONE));
  }

  /** Guards against unchanged loads that are skipped and therefore expire, or are counted twice. */
  @Test
  void repeated_loads_of_a_peer_stay_and_are_counted_once() {
    receive("vm-2", 3);
    loads.setPeerLoads(
        "vm-2", Map.of("e-1", new ServerLoad(3, 30, 0)), Instant.EPOCH.plus(TIMEOUT));

    loads.tick(TIMEOUT, Instant.EPOCH.plus(TIMEOUT.multipliedBy(2)));
    assertThat(loads.total("e-1"), is(new ServerLoad(3, 30, 0)));
    loads.removePeer("vm-2");
    assertThat(loads.total("e-1"), is(ServerLoad.NONE));
  }

  /** Guards against loads that are sent to the other VMs as they were before a change. */
  @Test
  void own_loads_show_every_change() {
    loads.addRun("e-1", 10);
    assertThat(loads.own(), is(Map.of("e-1", new ServerLoad(1, 10, 0))));
    loads.startPrefill("e-1", 7);
    assertThat(loads.own(), is(Map.of("e-1", new ServerLoad(1, 10, 7))));
    loads.endPrefill("e-1", 7);
    assertThat(loads.own(), is(Map.of("e-1", new ServerLoad(1, 10, 0))));
    loads.removeRun("e-1", 10);
    assertThat(loads.own(), is(Map.of()));
  }
}
