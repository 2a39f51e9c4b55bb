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
 * Refuses requests for permits that were made with an outdated configuration. An owner may have
 * confirmed that a change is in force, so a daemon that has not read the last change of the
 * account, its priority class or the route must not send the request.
 */
final class StaleViewCheck {

  /** Long enough for the records to arrive that the owner sends with the refusal. */
  private static final long RETRY_AFTER_MILLIS = 100;

  private StaleViewCheck() {}

  /**
   * Checks the configuration by which a permit is requested.
   *
   * @param ask request for a permit, with the offset up to which its sender has read the log
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
                "the account, priority class or route has changed since the request was accepted",
                RETRY_AFTER_MILLIS))
        : Optional.empty();
  }
}
