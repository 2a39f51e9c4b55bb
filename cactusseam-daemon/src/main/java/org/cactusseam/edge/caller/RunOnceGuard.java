package org.cactusseam.edge.caller;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.cactusseam.edge.control.ClaimClient;
import org.cactusseam.edge.control.ClaimOutcome;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.StoredResponse;
import org.jspecify.annotations.Nullable;

/**
 * Ensures by a claim that a request of a route that is not repeatable runs at most once. Does
 * nothing for requests of repeatable routes.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
final class RunOnceGuard {

  /** A larger response is not stored; a repeat of its request gets {@code ALREADY_RAN} instead. */
  private static final int MAXIMUM_STORED_BYTES = 256 * 1024;

  private final ClaimClient claims;
  private final RequestInfo info;
  private final String key;
  private @Nullable ClaimId claimId;
  private boolean started;
  private boolean outcomeRecorded;

  RunOnceGuard(ClaimClient claims, RequestInfo info, Optional<String> key) {
    this.claims = claims;
    this.info = info;
    this.key = key.orElse("");
  }

  /**
   * Claims the request, before its first attempt. Calls exactly one of the parameters.
   *
   * @param proceed called if the request may be attempted
   * @param refuse called with the reason if it must not be attempted
   * @param repeat called with the stored response of an earlier request with the same key
   */
  void claim(Runnable proceed, Consumer<Refusal> refuse, Consumer<StoredResponse> repeat) {
    if (info.route().repeatable()) {
      proceed.run();
      return;
    }
    claims.claim(
        info.account().name(),
        key,
        info.fingerprint(),
        info.deadline(),
        outcome -> {
          switch (outcome) {
            case ClaimOutcome.Permitted permitted -> {
              claimId = permitted.id();
              proceed.run();
            }
            case ClaimOutcome.Denied denied -> refuse.accept(denied.refusal());
            case ClaimOutcome.Repeated repeated -> repeat.accept(repeated.answer());
          }
        });
  }

  /**
   * Marks the claim as started, directly before the request is sent.
   *
   * @param send called if the request may be sent
   * @param refuse called with the reason if it must no longer be sent
   */
  void trySend(Runnable send, Consumer<Refusal> refuse) {
    ClaimId claim = claimId;
    if (claim == null) {
      send.run();
      return;
    }
    if (outcomeRecorded) {
      // A claim allows one attempt, and the backend server that received it has refused it.
      refuse.accept(
          new Refusal(
              ResultCode.BACKEND_UNAVAILABLE,
              "the backend server refused the request without running it",
              Duration.ofSeconds(1)));
      return;
    }
    claims.tryStart(
        claim,
        isPermitted -> {
          if (isPermitted) {
            started = true;
            send.run();
          } else {
            outcomeRecorded = true;
            refuse.accept(
                new Refusal(
                    ResultCode.OVERLOADED,
                    "no backend server was available in time to start the request",
                    Duration.ofSeconds(1)));
          }
        });
  }

  /**
   * Records that the request ran, and stores its response for repeats.
   *
   * @param status HTTP status of the response
   * @param contentType media type of the response
   * @param body response body; not stored if it is longer than 256 KiB
   */
  void recordResponse(int status, String contentType, byte[] body) {
    recordOnce(
        claim ->
            claims.reportCompleted(
                claim,
                body.length > MAXIMUM_STORED_BYTES
                    ? Optional.empty()
                    : Optional.of(new StoredResponse(status, contentType, body))));
  }

  /** Records that the request ran, without storing its response. */
  void recordRunWithoutResponse() {
    recordOnce(claim -> claims.reportCompleted(claim, Optional.empty()));
  }

  /**
   * Records that the request ended without a response: with an unknown outcome if it was sent,
   * otherwise as not run. No effect if an outcome was recorded before.
   */
  void recordEnd() {
    recordOnce(
        claim -> {
          if (started) {
            claims.reportOutcomeUnknown(claim);
          } else {
            claims.reportNotRun(claim);
          }
        });
  }

  /** Records that the request did not run, for example because the backend server refused it. */
  void recordNotRun() {
    recordOnce(claims::reportNotRun);
  }

  private void recordOnce(Consumer<ClaimId> action) {
    ClaimId claim = claimId;
    if (claim != null && !outcomeRecorded) {
      outcomeRecorded = true;
      action.accept(claim);
    }
  }
}
