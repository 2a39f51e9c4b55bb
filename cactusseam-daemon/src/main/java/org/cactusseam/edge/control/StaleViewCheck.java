package org.cactusseam.edge.control;

import java.util.Optional;
import java.util.stream.Stream;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ObjectKind;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.message.PeerMessage;

/**
 * Refuses requests that were accepted by an old view. A requester that has not read the last change
 * of the account, its class or the route must not send the request, because the change is in force.
 */
final class StaleViewCheck {

  /** Long enough for the records that the owner sends with the refusal. */
  private static final long RETRY_MILLIS = 100;

  private StaleViewCheck() {}

  /**
   * Checks a question for a permit.
   *
   * @param ask question
   * @param current configuration of the owner
   * @return refusal, or empty if the requester has read all changes that matter
   */
  static Optional<AdmissionDecision> refusal(PeerMessage.AskPermit ask, Configuration current) {
    PermitRequest request = ask.request();
    boolean isStale =
        Stream.of(
                new ObjectKey(ObjectKind.ACCOUNT, request.account().value()),
                new ObjectKey(ObjectKind.PRIORITY_CLASS, request.priorityClass().value()),
                new ObjectKey(ObjectKind.ROUTE, request.route().value()))
            .anyMatch(key -> current.revision(key).orElse(-1) >= ask.viewOffset());
    return isStale
        ? Optional.of(
            new AdmissionDecision.Refused(
                request.id(),
                ResultCode.NOT_READY,
                "the configuration of the request has changed",
                RETRY_MILLIS))
        : Optional.empty();
  }
}
