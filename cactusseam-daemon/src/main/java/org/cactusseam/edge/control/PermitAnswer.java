package org.cactusseam.edge.control;

import java.time.Instant;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.admission.Permit;

/** Final answer to a request for a permit. */
public sealed interface PermitAnswer {

  /**
   * The attempt may be sent.
   *
   * @param permit permit of the owner of the shard
   * @param validUntil time after which the attempt must not be sent
   */
  record Granted(Permit permit, Instant validUntil) implements PermitAnswer {}

  /**
   * The attempt must not be sent.
   *
   * @param refusal refusal for the caller
   */
  record Denied(Refusal refusal) implements PermitAnswer {}

  /**
   * No daemon grants permits of the shard at present, but a successor of the owner is expected
   * soon. The attempt must not be sent; a permit may be requested again, also from another shard.
   *
   * @param refusal refusal for the caller if no other request is made
   */
  record WithoutOwner(Refusal refusal) implements PermitAnswer {}
}
