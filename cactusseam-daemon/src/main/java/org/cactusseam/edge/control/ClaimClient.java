package org.cactusseam.edge.control;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.StoredResponse;

/**
 * Client of the claims log, which keeps a request with an idempotency key from running twice, for
 * the threads that serve requests. All methods may be called on any event loop.
 */
public interface ClaimClient {

  /**
   * Claims the right to run a request.
   *
   * @param account client account of the caller
   * @param key value of the header {@code Idempotency-Key}; empty if there was none
   * @param fingerprint hash of account, route and body
   * @param deadline time at which the caller stops waiting
   * @param answer called once, on the context of the calling thread
   */
  void claim(
      AccountName account,
      String key,
      String fingerprint,
      Instant deadline,
      Consumer<ClaimOutcome> answer);

  /**
   * Starts the request, directly before it is sent. Fails if the right to send it has lapsed.
   *
   * @param id claim of the request
   * @param answer called once, on the context of the calling thread; true if the request may be
   *     sent
   */
  void tryStart(ClaimId id, Consumer<Boolean> answer);

  /**
   * Reports that the request ran.
   *
   * @param id claim of the request
   * @param answer response to replay to repetitions; empty if it is not kept
   */
  void reportCompleted(ClaimId id, Optional<StoredResponse> answer);

  /**
   * Reports that the request was sent and that it is unknown whether it ran.
   *
   * @param id claim of the request
   */
  void reportOutcomeUnknown(ClaimId id);

  /**
   * Reports that the request did not run and will not be sent.
   *
   * @param id claim of the request
   */
  void reportNotRun(ClaimId id);
}
