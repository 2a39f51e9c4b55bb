package org.cactusseam.edge.control;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.StoredResponse;

/** Claims of requests that must not run twice, as traffic threads use them; for all event loops. */
public interface ClaimClient {

  /**
   * Claims the right to run a request.
   *
   * @param account client account
   * @param key value of the header {@code Idempotency-Key}; empty if there was none
   * @param fingerprint hash of account, route and body
   * @param deadline time at which the caller no longer waits
   * @param answer called once, on the caller's context
   */
  void claim(
      AccountName account,
      String key,
      String fingerprint,
      Instant deadline,
      Consumer<ClaimOutcome> answer);

  /**
   * Takes the right to send the request, directly before it is sent.
   *
   * @param id attempt
   * @param answer called once, on the caller's context; true if the request may be sent
   */
  void tryStart(ClaimId id, Consumer<Boolean> answer);

  /**
   * Notes that the request ran.
   *
   * @param id attempt
   * @param answer answer to keep for repeats
   */
  void ran(ClaimId id, Optional<StoredResponse> answer);

  /**
   * Notes that the request was sent and may have run.
   *
   * @param id attempt
   */
  void outcomeUnknown(ClaimId id);

  /**
   * Notes that the request did not run and will not.
   *
   * @param id attempt
   */
  void notRun(ClaimId id);
}
