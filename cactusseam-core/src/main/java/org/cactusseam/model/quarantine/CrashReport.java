package org.cactusseam.model.quarantine;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Sets;
import java.util.Set;

/**
 * Requests that ran on a backend server when it crashed.
 *
 * @param id identity of the report
 * @param fingerprints fingerprints of the requests, at most {@value #MAXIMUM_FINGERPRINTS}
 * @param cleared those that ended normally elsewhere and are no suspects of this crash
 * @param complete whether all requests are listed; an incomplete report raises suspicion but
 *     convicts nobody, because the cause may be missing
 */
public record CrashReport(
    CrashId id, Set<String> fingerprints, Set<String> cleared, boolean complete) {

  /** Bound on the fingerprints of a report: the requests that a backend server runs at once. */
  public static final int MAXIMUM_FINGERPRINTS = 256;

  /** Keeps the first fingerprints in their order, so that every node keeps the same ones. */
  public CrashReport {
    complete = complete && fingerprints.size() <= MAXIMUM_FINGERPRINTS;
    fingerprints =
        ImmutableSortedSet.copyOf(
            fingerprints.stream().sorted().limit(MAXIMUM_FINGERPRINTS).toList());
    cleared = ImmutableSortedSet.copyOf(Sets.intersection(fingerprints, Set.copyOf(cleared)));
  }

  /**
   * Returns the requests that can have caused the crash.
   *
   * @return fingerprints that are not cleared
   */
  public Set<String> suspects() {
    return Sets.difference(fingerprints, cleared);
  }

  /**
   * Joins what two nodes know of the same report.
   *
   * @param other report with the same identity
   * @return the join; the order of joins does not matter
   */
  CrashReport merge(CrashReport other) {
    return new CrashReport(
        id,
        Sets.union(fingerprints, other.fingerprints),
        Sets.union(cleared, other.cleared),
        complete && other.complete);
  }

  /**
   * Returns a copy in which a request is no longer a suspect.
   *
   * @param fingerprint fingerprint of the request
   * @return the copy
   */
  public CrashReport clear(String fingerprint) {
    return new CrashReport(id, fingerprints, Sets.union(cleared, Set.of(fingerprint)), complete);
  }
}
