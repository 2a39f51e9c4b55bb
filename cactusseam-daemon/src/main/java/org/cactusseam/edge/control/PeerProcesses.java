package org.cactusseam.edge.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.logic.membership.BootIds;
import org.cactusseam.model.NodeName;

/**
 * Processes of the other entry daemons, by the boot identities that they stated. Attempts and
 * claims carry the identity with which their process started; a rejoin changes the stated one, a
 * restart ends the process. Confined to the control thread.
 */
final class PeerProcesses {

  private final Map<NodeName, String> boots = new HashMap<>();

  /**
   * Notes what a peer stated on a new connection.
   *
   * @param node peer
   * @param boot boot identity
   * @return identity of the process that this one replaced, if it did
   */
  Optional<String> connected(NodeName node, String boot) {
    return Optional.ofNullable(boots.put(node, boot))
        .filter(before -> !BootIds.isSameProcess(before, boot))
        .map(BootIds::processBootId);
  }

  /**
   * Notes that the address of a peer refused a connection.
   *
   * @param node peer
   * @return identity of the process that is over, if it was known
   */
  Optional<String> refused(NodeName node) {
    return Optional.ofNullable(boots.remove(node)).map(BootIds::processBootId);
  }

  /**
   * Tells whether a process runs, as far as this daemon knows.
   *
   * @param node peer
   * @param boot boot identity
   * @return true if the peer last stated an identity of the same process
   */
  boolean isRunning(NodeName node, String boot) {
    String current = boots.get(node);
    return current != null && BootIds.isSameProcess(boot, current);
  }
}
