package org.cactusseam.edge.control;

import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;
import org.cactusseam.edge.peer.PeerNetwork;
import org.cactusseam.edge.platform.VirtualMachine;
import org.cactusseam.edge.platform.VirtualMachineList;
import org.cactusseam.logic.control.Membership;
import org.cactusseam.logic.membership.MembershipCoordinator;
import org.cactusseam.model.control.Member;

/**
 * Connects to the daemons that the VM list of the platform or the control log names. Both are
 * needed: the list to find the first peers, and the log while the list lags behind. Confined to the
 * control thread.
 */
final class PeerDirectory {

  private final Clock clock;
  private final VirtualMachineList vmList;
  private final PeerNetwork network;
  private final MembershipCoordinator coordinator;

  PeerDirectory(
      Clock clock,
      VirtualMachineList vmList,
      PeerNetwork network,
      MembershipCoordinator coordinator) {
    this.clock = clock;
    this.vmList = vmList;
    this.network = network;
    this.coordinator = coordinator;
  }

  /** Reads the VM list and connects to the VMs in it. If the read fails, the known peers stay. */
  void readList() {
    Instant askedAt = clock.instant();
    vmList.list().onSuccess(list -> onListRead(askedAt, list));
  }

  private void onListRead(Instant askedAt, List<VirtualMachine> list) {
    for (VirtualMachine vm : list) {
      network.connect(vm.name(), vm.host(), vm.peerPort());
    }
    coordinator.onVmListRead(
        list.stream().map(VirtualMachine::name).collect(Collectors.toSet()), askedAt);
  }

  void connectMembers(Membership membership) {
    for (Membership.Entry entry : membership.entries()) {
      Member member = entry.member();
      network.connect(member.node(), member.host(), member.peerPort());
    }
  }
}
