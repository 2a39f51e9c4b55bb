package org.cactusseam.logic.membership;

import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.Handover;
import org.cactusseam.model.control.RunId;

/** What a {@link MembershipCoordinator} asks its daemon to do. */
public sealed interface MembershipAction {

  /**
   * Append a record to the control log. It is repeated until it is seen, so the daemon need not
   * retry.
   *
   * @param record record
   */
  record Append(ControlRecord record) implements MembershipAction {}

  /**
   * Send a ping.
   *
   * @param to run that is expected to answer
   * @param sequence number that the answer repeats
   */
  record SendPing(RunId to, long sequence) implements MembershipAction {}

  /**
   * Fetch control records, or the whole state if the peer has no longer the records, from a peer
   * that has read more of the log than this node.
   *
   * @param peer peer
   * @param fromOffset first offset that this node lacks
   */
  record FetchRecords(RunId peer, long fromOffset) implements MembershipAction {}

  /**
   * Send a handover. It is repeated until it is acknowledged.
   *
   * @param handover handover
   */
  record SendHandover(Handover handover) implements MembershipAction {}

  /**
   * Acknowledge a handover.
   *
   * @param handover handover
   */
  record AcknowledgeHandover(Handover handover) implements MembershipAction {}

  /**
   * Start admission control for a shard. Whether a permit may be granted is a separate question.
   *
   * @param shard shard
   * @param epoch fencing number
   */
  record BecomeOwner(ShardId shard, long epoch) implements MembershipAction {}

  /**
   * Stop admission control for a shard.
   *
   * @param shard shard
   */
  record StopOwning(ShardId shard) implements MembershipAction {}
}
