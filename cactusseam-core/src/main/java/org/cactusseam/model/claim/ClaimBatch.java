package org.cactusseam.model.claim;

import java.util.List;

/**
 * A record of the stream {@code claims}. It carries several statements, because the platform's log
 * accepts only several hundred appends per second.
 *
 * @param entries statements, in order
 */
public record ClaimBatch(List<ClaimEntry> entries) {

  /** Copies the list. */
  public ClaimBatch {
    entries = List.copyOf(entries);
  }
}
