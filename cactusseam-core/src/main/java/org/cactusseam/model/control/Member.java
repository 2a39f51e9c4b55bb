package org.cactusseam.model.control;

import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;

/**
 * Description of one run of an entry daemon in the control log and in messages between peers.
 *
 * @param node name of the entry daemon
 * @param boot boot identity of the run; each restart and rejoin has a greater one
 * @param host IP address on which it listens for peers
 * @param peerPort TCP port on which it listens for peers
 * @param domain failure domain of its VM
 * @param region region of its VM
 */
public record Member(
    NodeName node,
    String boot,
    String host,
    int peerPort,
    FailureDomainName domain,
    RegionName region) {

  /**
   * Returns the description of a later run of the same entry daemon.
   *
   * @param newBoot boot identity of the later run
   * @return changed copy
   */
  public Member withBoot(String newBoot) {
    return new Member(node, newBoot, host, peerPort, domain, region);
  }
}
