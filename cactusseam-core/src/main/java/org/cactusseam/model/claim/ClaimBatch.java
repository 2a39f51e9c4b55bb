package org.cactusseam.model.claim;

import java.util.List;

/**
 * A record of the stream {@code claims}. It batches several entries, because the platform's log
 * accepts only several hundred appends per second.
 *
 * @param entries entries, in the order in which they take effect
 */
public record ClaimBatch(List<ClaimEntry> entries) {

  /** Creates a batch with an immutable copy of the entries. */
  public ClaimBatch {
    entries = List.copyOf(entries);
  }
}
