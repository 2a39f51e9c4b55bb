package org.cactusseam.model.gateway;

/**
 * Where a stream began, for callers who take it up at any gateway.
 *
 * @param attemptId identifier of the caller's attempt that begins the stream
 * @param version version of the software of the server to which it was sent
 * @param send number of the send within the attempt, from 1. The highest one counts, because the
 *     store may execute a call whose response was lost after a later one
 */
public record StreamOrigin(String attemptId, String version, int send) {}
