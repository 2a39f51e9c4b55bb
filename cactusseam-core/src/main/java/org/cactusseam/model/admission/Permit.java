package org.cactusseam.model.admission;

import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ShardId;

/**
 * Right to send one attempt to one backend server. It is valid for {@link #VALIDITY_MILLIS} from
 * when the requester sent its request, so that a paused owner or a delayed answer cannot cause a
 * late dispatch.
 *
 * @param id identity of the attempt
 * @param shard shard that granted it
 * @param server backend server to use
 * @param epoch fencing number: log offset of the view under which the owner granted it
 */
public record Permit(PermitRequestId id, ShardId shard, BackendServerName server, long epoch) {

  /** Validity of a permit, in milliseconds. */
  public static final long VALIDITY_MILLIS = 1_000;
}
