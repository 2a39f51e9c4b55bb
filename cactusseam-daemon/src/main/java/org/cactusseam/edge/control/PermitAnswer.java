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
}
