package org.cactusseam.edge.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.logic.membership.BootIds;
import org.cactusseam.model.NodeName;

/**
 * Tracks the processes of the other entry daemons by their boot IDs. Attempts and claims carry the
 * boot ID with which their process started. A daemon that rejoins states a new boot ID of the same
 * process; a restart ends the process. Confined to the control thread.
 */
final class PeerProcesses {

  private final Map<NodeName, String> bootIds = new HashMap<>();

  /**
   * Records the boot ID that a peer stated on a new connection.
   *
   * @param node VM of the peer
   * @param boot boot ID
   * @return boot ID of the process that this one replaced; empty if it is the same process or the
   *     first
   */
  Optional<String> recordConnection(NodeName node, String boot) {
    return Optional.ofNullable(bootIds.put(node, boot))
        .filter(previous -> !BootIds.isSameProcess(previous, boot))
        .map(BootIds::processBootId);
  }

  /**
   * Records that the address of a peer refused a connection, so that no process runs there.
   *
   * @param node VM of the peer
   * @return boot ID of the process that has ended, if it was known
   */
  Optional<String> recordRefusedConnection(NodeName node) {
    return Optional.ofNullable(bootIds.remove(node)).map(BootIds::processBootId);
  }

  /**
   * Returns whether a process runs, as far as this daemon knows.
   *
   * @param node VM of the peer
   * @param boot boot ID of the process
   * @return true if the last boot ID that the peer stated belongs to the same process
   */
  boolean isRunning(NodeName node, String boot) {
    String current = bootIds.get(node);
    return current != null && BootIds.isSameProcess(boot, current);
  }
}
