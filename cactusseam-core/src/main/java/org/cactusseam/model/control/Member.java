package org.cactusseam.model.control;

import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;

/**
 * One run of an entry daemon, as the control log and its peers know it.
 *
 * @param node name of the entry daemon
 * @param boot identity of its run; a restart has another one
 * @param host IP address of its peer port
 * @param peerPort TCP port for messages between entry daemons
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
   * Returns a copy for a later run.
   *
   * @param newBoot identity of the later run
   * @return the copy
   */
  public Member withBoot(String newBoot) {
    return new Member(node, newBoot, host, peerPort, domain, region);
  }
}
