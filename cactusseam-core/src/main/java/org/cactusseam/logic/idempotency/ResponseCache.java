package org.cactusseam.logic.idempotency;

import com.google.common.base.Ticker;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.Clock;
import java.util.Optional;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.StoredResponse;

/**
 * Stores the responses of requests that this daemon executed, so that they can be replayed.
 * Responses are evicted when they reach a maximum age or when the cache exceeds its size in bytes.
 */
final class ResponseCache {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Approximate memory overhead of an entry besides its body. It bounds the number of entries with
   * empty bodies.
   */
  private static final int ENTRY_OVERHEAD_BYTES = 256;

  private final Cache<ClaimId, StoredResponse> responses;

  ResponseCache(ClaimSettings settings, Clock clock) {
    Ticker ticker =
        new Ticker() {
          @Override
          public long read() {
            return clock.millis() * NANOS_PER_MILLI;
          }
        };
    responses =
        CacheBuilder.newBuilder()
            .concurrencyLevel(1)
            .ticker(ticker)
            .expireAfterWrite(settings.responseTtl())
            .maximumWeight(settings.responseCacheBytes())
            .weigher(
                (ClaimId id, StoredResponse response) ->
                    ENTRY_OVERHEAD_BYTES + response.body().length)
            .build();
  }

  void put(ClaimId id, StoredResponse response) {
    responses.put(id, response);
  }

  Optional<StoredResponse> find(ClaimId id) {
    return Optional.ofNullable(responses.getIfPresent(id));
  }
}
