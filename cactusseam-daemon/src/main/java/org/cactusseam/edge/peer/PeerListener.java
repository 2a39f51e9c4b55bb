package org.cactusseam.edge.peer;

import java.time.Instant;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.message.PeerMessage;

/** What the control plane hears from {@link PeerNetwork}; called on the control thread. */
public interface PeerListener {

  /**
   * A message arrived.
   *
   * @param from sender, authenticated
   * @param message message
   */
  void received(Member from, PeerMessage message);

  /**
   * A connection to a peer opened.
   *
   * @param peer description that the peer gave of itself
   */
  void connected(Member peer);

  /**
   * The address of a peer refuses connections, so no process listens there.
   *
   * @param peer entry daemon
   * @param attemptedAt when the attempt started
   */
  void refused(NodeName peer, Instant attemptedAt);
}
