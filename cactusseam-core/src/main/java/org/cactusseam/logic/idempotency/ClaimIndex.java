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
 * What the stream {@code claims} says of each key. Nodes that read the same records agree on the
 * holder of each key: its first claim in log order that is not released.
 *
 * <p>A key is forgotten once every node refuses it for its age, so the memory is bounded by the
 * keys of one window.
 */
final class ClaimIndex {

  /** What is known of one key. */
  private static final class KeyState {
    private final List<ClaimEntry.Claimed> claims = new ArrayList<>();
    private final Set<ClaimId> seen = new HashSet<>();
    private boolean finished;
  }

  private final Duration memory;
  private final Map<ClaimKey, KeyState> states = new HashMap<>();
  private final TreeMap<Instant, List<ClaimKey>> byTime = new TreeMap<>();

  /**
   * Creates an empty index.
   *
   * @param memory age of a key at which it is forgotten
   */
  ClaimIndex(Duration memory) {
    this.memory = memory;
  }

  /** Applies a statement; a repeated one changes nothing. */
  void apply(ClaimEntry entry) {
    KeyState state = states.computeIfAbsent(entry.key(), this::open);
    switch (entry) {
      case ClaimEntry.Claimed claim -> {
        // A second copy of a claim may follow its release; it must not hold the key again.
        if (state.seen.add(claim.id())) {
          state.claims.add(claim);
        }
      }
      case ClaimEntry.Released released -> {
        state.seen.add(released.id());
        state.claims.removeIf(claim -> claim.id().equals(released.id()));
      }
      case ClaimEntry.Finished finished -> state.finished = true;
    }
  }

  private KeyState open(ClaimKey key) {
    byTime.computeIfAbsent(key.time(), time -> new ArrayList<>(1)).add(key);
    return new KeyState();
  }

  /** Returns the claim that may run, or that ran. */
  Optional<ClaimEntry.Claimed> holder(ClaimKey key) {
    return Optional.ofNullable(states.get(key)).flatMap(state -> state.claims.stream().findFirst());
  }

  /** Tells whether a claim was read and is not released. */
  boolean isLive(ClaimKey key, ClaimId id) {
    KeyState state = states.get(key);
    return state != null && state.claims.stream().anyMatch(claim -> claim.id().equals(id));
  }

  /** Tells whether a claim of the key ran to its end. */
  boolean isFinished(ClaimKey key) {
    KeyState state = states.get(key);
    return state != null && state.finished;
  }

  /** Forgets keys that are too old to be accepted anywhere, and returns them. */
  List<ClaimKey> expire(Instant now) {
    List<ClaimKey> expired = new ArrayList<>();
    Instant limit = now.minus(memory);
    while (!byTime.isEmpty() && byTime.firstKey().isBefore(limit)) {
      expired.addAll(byTime.pollFirstEntry().getValue());
    }
    expired.forEach(states::remove);
    return expired;
  }

  int size() {
    return states.size();
  }
}
