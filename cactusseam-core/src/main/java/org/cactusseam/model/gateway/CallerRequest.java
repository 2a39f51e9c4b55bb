package org.cactusseam.model.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Decoded request line and headers of a caller's request.
 *
 * @param attemptId identifier of this attempt, chosen by the caller
 * @param host host name without the port
 * @param path path without the query
 * @param callerTimeout time after which the caller gives up; empty if it does not state one
 * @param key API key of the client account; empty if the request has none
 * @param demand prompt and output lengths of a model request; empty for plain requests
 * @param lastEventId identifier of the last event that the caller has received of the stream that
 *     it resumes; empty for new requests
 * @param resumedAttempt identifier of the attempt that brought the first event of that stream;
 *     empty if the caller does not name it
 * @param sharedPromptParts identifiers of the parts of a model request's prompt that other requests
 *     may have as well, in order; empty for plain requests
 */
public record CallerRequest(
    String attemptId,
    String host,
    String path,
    Optional<Duration> callerTimeout,
    Optional<String> key,
    Optional<GenerationDemand> demand,
    Optional<String> lastEventId,
    Optional<String> resumedAttempt,
    List<String> sharedPromptParts) {

  /** Copies the list. */
  public CallerRequest {
    sharedPromptParts = List.copyOf(sharedPromptParts);
  }
}
