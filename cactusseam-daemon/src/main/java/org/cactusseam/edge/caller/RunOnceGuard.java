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
 * Keeps a request of a route that is not repeatable from running twice. For repeatable routes it
 * lets everything pass.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
final class RunOnceGuard {

  /** A bigger answer is not kept for repeats; a repeat then gets the code "already ran". */
  private static final int MAXIMUM_STORED_BYTES = 256 * 1024;

  private final ClaimClient claims;
  private final RequestInfo info;
  private final String key;
  private @Nullable ClaimId id;
  private boolean begun;
  private boolean settled;

  RunOnceGuard(ClaimClient claims, RequestInfo info, Optional<String> key) {
    this.claims = claims;
    this.info = info;
    this.key = key.orElse("");
  }

  /**
   * Claims the right to run.
   *
   * @param proceed called if the request may be attempted
   * @param refuse called with the reason if not
   * @param repeat called with the answer of an earlier request with the same key
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
            case ClaimOutcome.Permitted entitled -> {
              id = entitled.id();
              proceed.run();
            }
            case ClaimOutcome.Denied denied -> refuse.accept(denied.refusal());
            case ClaimOutcome.Repeated repeated -> repeat.accept(repeated.answer());
          }
        });
  }

  /**
   * Takes the right to send, directly before the request is sent.
   *
   * @param send called if it may be sent
   * @param refuse called if it must not be sent any more
   */
  void begin(Runnable send, Consumer<Refusal> refuse) {
    ClaimId claim = id;
    if (claim == null) {
      send.run();
      return;
    }
    if (settled) {
      // A claim allows one attempt; the server that got it refused it.
      refuse.accept(
          new Refusal(
              ResultCode.BACKEND_UNAVAILABLE, "the backend server refused", Duration.ofSeconds(1)));
      return;
    }
    claims.tryStart(
        claim,
        entitled -> {
          if (entitled) {
            begun = true;
            send.run();
          } else {
            settled = true;
            refuse.accept(
                new Refusal(
                    ResultCode.OVERLOADED,
                    "no backend server was free in time",
                    Duration.ofSeconds(1)));
          }
        });
  }

  /**
   * Notes that the request ran.
   *
   * @param status HTTP status of the answer
   * @param contentType media type of the answer
   * @param body answer
   */
  void ran(int status, String contentType, byte[] body) {
    settle(
        claim ->
            claims.reportCompleted(
                claim,
                body.length > MAXIMUM_STORED_BYTES
                    ? Optional.empty()
                    : Optional.of(new StoredResponse(status, contentType, body))));
  }

  /** Notes that the request ran and that its answer is not kept. */
  void ranWithoutAnswer() {
    settle(claim -> claims.reportCompleted(claim, Optional.empty()));
  }

  /** Notes that the request ends without an answer: it may have run if it was sent. */
  void ended() {
    settle(
        claim -> {
          if (begun) {
            claims.reportOutcomeUnknown(claim);
          } else {
            claims.reportNotRun(claim);
          }
        });
  }

  /** Notes that the backend server refused the request without running it. */
  void refusedByServer() {
    settle(claims::reportNotRun);
  }

  private void settle(Consumer<ClaimId> action) {
    ClaimId claim = id;
    if (claim != null && !settled) {
      settled = true;
      action.accept(claim);
    }
  }
}
