package org.cactusseam.edge.peer;

import java.time.Instant;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.message.PeerMessage;

/** Receives messages and connection events from {@link PeerNetwork}, on the control thread. */
public interface PeerListener {

  /**
   * Handles a message from a peer.
   *
   * @param from authenticated sender
   * @param message message that arrived
   */
  void received(Member from, PeerMessage message);

  /**
   * Handles that a connection to a peer was opened and authenticated.
   *
   * @param peer description of the peer from its hello
   */
  void connected(Member peer);

  /**
   * Handles that the address of a peer refused a connection, so that no process listens there.
   *
   * @param peer name of the entry daemon
   * @param attemptedAt time at which the connection attempt started
   */
  void refused(NodeName peer, Instant attemptedAt);
}
