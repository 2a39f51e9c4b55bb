package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against shares that count removed VMs, or that ignore VMs that are only temporarily
 * unreachable.
 */
class PeerReachabilityTest {

  private final PeerReachability peers = new PeerReachability();

  private static Instant at(long seconds) {
    return Instant.ofEpochSecond(seconds);
  }

  @Test
  void a_discovered_vm_has_a_share_before_it_is_connected() {
    peers.recordDiscovered("vm-2", at(0));

    assertThat(peers.sharingCount(at(1)), is(1));
    assertThat(peers.connectedCount(), is(0));
  }

  @Test
  void a_disconnected_vm_keeps_its_share_for_the_retention_period() {
    peers.recordConnected("vm-2");
    peers.recordDisconnected("vm-2", at(10));

    assertThat(peers.sharingCount(at(69)), is(1));
    assertThat(peers.connectedCount(), is(0));
  }

  /** Guards against a roll-out that completes while a VM in a partition uses old servers. */
  @Test
  void a_disconnected_vm_may_serve_requests_for_as_long_as_a_partition_lasts() {
    peers.recordConnected("vm-2");
    peers.recordDisconnected("vm-2", at(10));

    assertThat(peers.possiblyPartitioned(at(19)), is(List.of("vm-2")));
    assertThat(peers.possiblyPartitioned(at(21)), is(List.of()));
  }

  @Test
  void a_vm_loses_its_share_after_the_retention_period() {
    peers.recordConnected("vm-2");
    peers.recordDisconnected("vm-2", at(10));
    peers.recordDiscovered("vm-2", at(60));

    assertThat(peers.sharingCount(at(71)), is(0));
  }

  @Test
  void a_reconnected_vm_has_a_share() {
    peers.recordConnected("vm-2");
    peers.recordDisconnected("vm-2", at(10));
    peers.recordConnected("vm-2");

    assertThat(peers.sharingCount(at(500)), is(1));
    assertThat(peers.connectedCount(), is(1));
  }
}
