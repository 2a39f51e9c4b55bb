package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * The gateway that passes records on to one that cannot read the store. It is kept as long as it
 * answers: each new one sends all that it knows, and a third of all gateways that asked one after
 * the other filled the link between two regions.
 */
public final class RecordSource {

  /** Two requests without an answer, 0.7 s apart. */
  private static final Duration ANSWER = Duration.ofMillis(1_500);

  private Optional<String> current = Optional.empty();
  private Instant heardAt = Instant.MIN;

  /**
   * Returns the gateway to ask.
   *
   * @param candidates connected gateways, the preferred ones first
   * @param now time
   * @return the one that answers, or the one after it
   */
  public Optional<String> next(List<String> candidates, Instant now) {
    boolean answers =
        current.isPresent()
            && candidates.contains(current.get())
            && heardAt.plus(ANSWER).isAfter(now);
    if (!answers && !candidates.isEmpty()) {
      int index = current.map(candidates::indexOf).orElse(-1);
      current = Optional.of(candidates.get((index + 1) % candidates.size()));
      heardAt = now;
    }
    return candidates.isEmpty() ? Optional.empty() : current;
  }

  /**
   * A gateway answers that it passes records on.
   *
   * @param node gateway
   * @param now time
   */
  public void answered(String node, Instant now) {
    if (current.filter(node::equals).isPresent()) {
      heardAt = now;
    }
  }
}
