package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the gateway from which this one gets records while it cannot read the store itself. A
 * source is kept as long as it answers: each new source sends all its records, and when a third of
 * all gateways changed their source again and again, the link between two regions was saturated.
 */
public final class RecordSource {

  /** Timeout of a source: covers two requests without an answer, 0.7 s apart. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_500);

  private Optional<String> current = Optional.empty();
  private Instant lastAnswerAt = Instant.MIN;

  /**
   * Returns the gateway to request records from. Replaces the present one if it is disconnected or
   * does not answer.
   *
   * @param candidates connected gateways, in order of preference
   * @return the present source, or the candidate after it; empty without candidates
   */
  public Optional<String> next(List<String> candidates, Instant now) {
    boolean isAnswering =
        current.isPresent()
            && candidates.contains(current.get())
            && lastAnswerAt.plus(ANSWER_TIMEOUT).isAfter(now);
    if (!isAnswering && !candidates.isEmpty()) {
      int index = current.map(candidates::indexOf).orElse(-1);
      current = Optional.of(candidates.get((index + 1) % candidates.size()));
      lastAnswerAt = now;
    }
    return candidates.isEmpty() ? Optional.empty() : current;
  }

  /** Records that a gateway has confirmed that it forwards records. */
  public void answered(String node, Instant now) {
    if (current.filter(node::equals).isPresent()) {
      lastAnswerAt = now;
    }
  }
}
