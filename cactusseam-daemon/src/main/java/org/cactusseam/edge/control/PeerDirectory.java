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
 * Connects to the daemons that the platform's list of VMs or the control log names. A daemon needs
 * both: the list to find its first peers, the log when the list lags. Confined to the control
 * thread.
 */
final class PeerDirectory {

  private final Clock clock;
  private final VirtualMachineList machines;
  private final PeerNetwork network;
  private final MembershipCoordinator coordinator;

  PeerDirectory(
      Clock clock,
      VirtualMachineList machines,
      PeerNetwork network,
      MembershipCoordinator coordinator) {
    this.clock = clock;
    this.machines = machines;
    this.network = network;
    this.coordinator = coordinator;
  }

  /** Reads the list; without an answer the known peers stay. */
  void readList() {
    Instant askedAt = clock.instant();
    machines.list().onSuccess(list -> listRead(askedAt, list));
  }

  private void listRead(Instant askedAt, List<VirtualMachine> list) {
    for (VirtualMachine machine : list) {
      network.connect(machine.name(), machine.host(), machine.peerPort());
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
