package org.cactusseam.logic.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cactusseam.model.claim.ClaimEntry;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.ClaimKey;

/**
 * Index of the claims in the stream {@code claims} by idempotency key. Daemons that have read the
 * same records agree on the holder of each key, which is the first claim in log order that is not
 * released.
 *
 * <p>A key is removed once it is so old that every daemon refuses it, so the memory is bounded by
 * the keys of one acceptance window.
 */
final class ClaimIndex {

  /** Claims of one key. */
  private static final class KeyClaims {
    private final List<ClaimEntry.Claimed> claims = new ArrayList<>();
    private final Set<ClaimId> knownIds = new HashSet<>();
    private boolean finished;
  }

  private final Duration maximumAge;
  private final Map<ClaimKey, KeyClaims> claimsByKey = new HashMap<>();
  private final TreeMap<Instant, List<ClaimKey>> keysByTime = new TreeMap<>();

  /**
   * Creates an empty index.
   *
   * @param maximumAge age at which a key is removed
   */
  ClaimIndex(Duration maximumAge) {
    this.maximumAge = maximumAge;
  }

  /** Applies an entry; a duplicate has no effect. */
  void apply(ClaimEntry entry) {
    KeyClaims keyClaims = claimsByKey.computeIfAbsent(entry.key(), this::createEntry);
    switch (entry) {
      case ClaimEntry.Claimed claim -> {
        // A duplicate of a claim may follow its release and must not hold the key again.
        if (keyClaims.knownIds.add(claim.id())) {
          keyClaims.claims.add(claim);
        }
      }
      case ClaimEntry.Released released -> {
        keyClaims.knownIds.add(released.id());
        keyClaims.claims.removeIf(claim -> claim.id().equals(released.id()));
      }
      case ClaimEntry.Finished finished -> keyClaims.finished = true;
    }
  }

  private KeyClaims createEntry(ClaimKey key) {
    keysByTime.computeIfAbsent(key.time(), time -> new ArrayList<>(1)).add(key);
    return new KeyClaims();
  }

  /** Returns the claim that holds the key: it may be executed or was executed. */
  Optional<ClaimEntry.Claimed> holder(ClaimKey key) {
    return Optional.ofNullable(claimsByKey.get(key))
        .flatMap(keyClaims -> keyClaims.claims.stream().findFirst());
  }

  /** Returns whether a claim was read from the log and has not been released. */
  boolean isActive(ClaimKey key, ClaimId id) {
    KeyClaims keyClaims = claimsByKey.get(key);
    return keyClaims != null && keyClaims.claims.stream().anyMatch(claim -> claim.id().equals(id));
  }

  /** Returns whether an attempt with the key completed. */
  boolean isFinished(ClaimKey key) {
    KeyClaims keyClaims = claimsByKey.get(key);
    return keyClaims != null && keyClaims.finished;
  }

  /** Removes the keys that are too old to be accepted by any daemon, and returns them. */
  List<ClaimKey> removeExpired(Instant now) {
    List<ClaimKey> expired = new ArrayList<>();
    Instant oldestAccepted = now.minus(maximumAge);
    while (!keysByTime.isEmpty() && keysByTime.firstKey().isBefore(oldestAccepted)) {
      expired.addAll(keysByTime.pollFirstEntry().getValue());
    }
    expired.forEach(claimsByKey::remove);
    return expired;
  }

  int size() {
    return claimsByKey.size();
  }
}
