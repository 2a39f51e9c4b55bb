package org.cactusseam.model.admission;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cactusseam.model.ResultCode;

/** Answer of a shard's owner to a {@link PermitRequest}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = AdmissionDecision.Granted.class, name = "granted"),
  @JsonSubTypes.Type(value = AdmissionDecision.Refused.class, name = "refused"),
  @JsonSubTypes.Type(value = AdmissionDecision.Queued.class, name = "queued")
})
public sealed interface AdmissionDecision {

  /** Returns the identity of the attempt that this decision is about. */
  PermitRequestId id();

  /**
   * The attempt may run.
   *
   * @param permit permission to send the attempt
   */
  record Granted(Permit permit) implements AdmissionDecision {
    @Override
    public PermitRequestId id() {
      return permit.id();
    }
  }

  /**
   * The attempt must not run.
   *
   * @param id identity of the attempt
   * @param code reason of the refusal
   * @param detail human-readable explanation
   * @param retryAfterMillis delay after which a retry can succeed, in milliseconds
   */
  record Refused(PermitRequestId id, ResultCode code, String detail, long retryAfterMillis)
      implements AdmissionDecision {}

  /**
   * The attempt waits in the owner's queue. The requester repeats the request to keep its place;
   * each repetition also renews the period in which a permit may be granted.
   *
   * @param id identity of the attempt
   */
  record Queued(PermitRequestId id) implements AdmissionDecision {}
}
