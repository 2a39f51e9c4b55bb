package org.cactusseam.edge.control;

import java.time.Instant;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.admission.Permit;

/** Final answer to a question for a permit. */
public sealed interface PermitAnswer {

  /**
   * The attempt may be sent.
   *
   * @param permit permit
   * @param validUntil nothing may be sent after this
   */
  record Granted(Permit permit, Instant validUntil) implements PermitAnswer {}

  /**
   * The attempt must not be sent.
   *
   * @param refusal numbered reason
   */
  record Denied(Refusal refusal) implements PermitAnswer {}

  /**
   * No node grants permits of the shard now, and one is expected to take it over soon. The attempt
   * must not be sent; the caller may ask again, also for another shard.
   *
   * @param refusal numbered reason, for a caller that does not ask again
   */
  record WithoutOwner(Refusal refusal) implements PermitAnswer {}
}
