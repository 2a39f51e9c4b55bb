package org.cactusseam.logic.idempotency;

import com.google.common.base.Ticker;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.Clock;
import java.util.Optional;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.StoredResponse;

/** Answers of this node's requests, bounded in bytes and time. */
final class ResponseCache {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Approximate memory of an entry besides its body, so that empty bodies are bounded too. */
  private static final int ENTRY_BYTES = 256;

  private final Cache<ClaimId, StoredResponse> answers;

  ResponseCache(ClaimSettings settings, Clock clock) {
    Ticker ticker =
        new Ticker() {
          @Override
          public long read() {
            return clock.millis() * NANOS_PER_MILLI;
          }
        };
    answers =
        CacheBuilder.newBuilder()
            .concurrencyLevel(1)
            .ticker(ticker)
            .expireAfterWrite(settings.responseTtl())
            .maximumWeight(settings.responseCacheBytes())
            .weigher((ClaimId id, StoredResponse answer) -> ENTRY_BYTES + answer.body().length)
            .build();
  }

  void put(ClaimId id, StoredResponse answer) {
    answers.put(id, answer);
  }

  Optional<StoredResponse> find(ClaimId id) {
    return Optional.ofNullable(answers.getIfPresent(id));
  }
}
