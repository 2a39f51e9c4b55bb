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

  /**
   * Returns the attempt that this decision is about.
   *
   * @return identity of the attempt
   */
  PermitRequestId id();

  /**
   * The attempt may run.
   *
   * @param permit right to send it
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
   * @param code numbered reason
   * @param detail text for people
   * @param retryAfterMillis when to come again, in milliseconds
   */
  record Refused(PermitRequestId id, ResultCode code, String detail, long retryAfterMillis)
      implements AdmissionDecision {}

  /**
   * The attempt waits at the owner; the requester asks again to keep its place, which also renews
   * the validity of the permit to come.
   *
   * @param id identity of the attempt
   */
  record Queued(PermitRequestId id) implements AdmissionDecision {}
}
