package org.cactusseam.edge.control;

import java.util.List;
import java.util.Optional;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.StoredRecord;
import org.cactusseam.model.message.PeerMessage;

/**
 * Sends control records to peers that lack them, so that a daemon that cannot read the log learns
 * of changes nevertheless. Confined to the control thread.
 */
final class RecordSender {

  private final ControlLog log;
  private final PermitRouter.Sender sender;

  RecordSender(ControlLog log, PermitRouter.Sender sender) {
    this.log = log;
    this.sender = sender;
  }

  /**
   * Sends the records from an offset on, or the whole state if this daemon does not keep all of
   * them. Sends nothing until this daemon has loaded the state itself.
   *
   * @param peer VM of the receiver
   * @param fromOffset offset of the first record that it lacks; negative for the whole state
   */
  void send(NodeName peer, long fromOffset) {
    if (!log.isLoaded()) {
      return;
    }
    Optional<List<StoredRecord>> records =
        fromOffset < 0 ? Optional.empty() : log.recordsFrom(fromOffset);
    if (records.isPresent()) {
      sender.send(peer, new PeerMessage.Records(records.get()));
    } else {
      log.snapshot().forEach(part -> sender.send(peer, new PeerMessage.State(part)));
    }
  }
}
