package org.cactusseam.model.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Data that the gateway adds to a request when it sends it to a backend server.
 *
 * @param server server that is to run the request
 * @param timeLeft remaining time until the caller gives up
 * @param account name of the client account; empty if the request has no key
 * @param enginePriority priority at the model engine, 0 is the highest; empty for plain requests
 * @param lastEventId identifier of the event after which a stream continues; empty for new runs
 * @param continuation copy of the KV cache from which the run continues; empty for new runs
 */
public record ServerCall(
    ServerInstance server,
    Duration timeLeft,
    Optional<String> account,
    OptionalInt enginePriority,
    Optional<String> lastEventId,
    Optional<KvCopyReference> continuation) {}
