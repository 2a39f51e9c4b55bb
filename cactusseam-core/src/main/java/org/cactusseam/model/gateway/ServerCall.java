package org.cactusseam.model.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the gateway adds to a request that it sends to a backend server.
 *
 * @param server server that may run it
 * @param timeLeft time until the caller gives up
 * @param account client account, if the request has a key
 * @param enginePriority priority at a model engine, 0 is the first
 * @param lastEventId event after which a stream continues
 * @param continuation memory from which the run continues
 */
public record ServerCall(
    ServerInstance server,
    Duration timeLeft,
    Optional<String> account,
    OptionalInt enginePriority,
    Optional<String> lastEventId,
    Optional<KvCopyReference> continuation) {}
