package org.cactusseam.logic.membership;

import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.Handover;
import org.cactusseam.model.control.RunId;

/** An input or output operation that a {@link MembershipCoordinator} requests from its daemon. */
public sealed interface MembershipAction {

  /**
   * Append a record to the control log. The coordinator requests it again until it has read the
   * record from the log, so the daemon need not retry.
   *
   * @param record record to append
   */
  record Append(ControlRecord record) implements MembershipAction {}

  /**
   * Send a ping, which serves as the heartbeat between entry daemons.
   *
   * @param to run that must answer; an answer of another run of the same node does not count
   * @param sequence number that the answer echoes
   */
  record SendPing(RunId to, long sequence) implements MembershipAction {}

  /**
   * Fetch control records from a peer that has read more of the log than this node. The peer sends
   * its whole state if it no longer has the records.
   *
   * @param peer run to fetch from
   * @param fromOffset first offset that this node lacks
   */
  record FetchRecords(RunId peer, long fromOffset) implements MembershipAction {}

  /**
   * Send a handover. The handovers of a leaving run are repeated until they are acknowledged.
   *
   * @param handover handover to send to its {@code to} run
   */
  record SendHandover(Handover handover) implements MembershipAction {}

  /**
   * Acknowledge a handover to its sender.
   *
   * @param handover accepted handover
   */
  record AcknowledgeHandover(Handover handover) implements MembershipAction {}

  /**
   * Start admission control for a shard. Each grant must still be allowed by {@link
   * MembershipCoordinator#mayGrant}.
   *
   * @param shard shard that this node has taken over
   * @param epoch epoch of the ownership, used as the fencing number of grants
   */
  record BecomeOwner(ShardId shard, long epoch) implements MembershipAction {}

  /**
   * Stop admission control for a shard.
   *
   * @param shard shard that this node no longer owns
   */
  record StopOwning(ShardId shard) implements MembershipAction {}
}
