package org.cactusseam.model.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * The head of a caller's request, decoded.
 *
 * @param attemptId identity of this attempt of the caller
 * @param host host name without port
 * @param path path without query
 * @param callerTimeout time that the caller waits, if it says so
 * @param key key of the client account
 * @param demand what a model request asks for; absent for plain requests
 * @param lastEventId last event that the caller has of a stream that it resumes
 */
public record CallerRequest(
    String attemptId,
    String host,
    String path,
    Optional<Duration> callerTimeout,
    Optional<String> key,
    Optional<GenerationDemand> demand,
    Optional<String> lastEventId) {}
