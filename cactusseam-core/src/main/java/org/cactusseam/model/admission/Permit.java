package org.cactusseam.model.admission;

import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ShardId;

/**
 * Permission to send one attempt to one backend server. It is valid for {@link #VALIDITY_MILLIS}
 * from the time at which the requester sent its request, so that a paused owner or a delayed answer
 * cannot cause a late dispatch.
 *
 * @param id identity of the attempt
 * @param shard shard that granted the permit
 * @param server backend server that the attempt is sent to
 * @param epoch fencing number: log offset of the ownership view under which the permit was granted
 */
public record Permit(PermitRequestId id, ShardId shard, BackendServerName server, long epoch) {

  /** Validity of a permit, in milliseconds. */
  public static final long VALIDITY_MILLIS = 1_000;
}
