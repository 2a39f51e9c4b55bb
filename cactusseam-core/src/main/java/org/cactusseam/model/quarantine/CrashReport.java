package org.cactusseam.model.quarantine;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Sets;
import java.util.Set;

/**
 * Report of the requests that ran on a backend server when it crashed.
 *
 * @param id identity of the report
 * @param fingerprints fingerprints of the requests, at most {@value #MAXIMUM_FINGERPRINTS}
 * @param cleared fingerprints of requests that have ended normally since and are no longer
 *     suspected of this crash
 * @param complete whether all requests are listed; an incomplete report makes its requests suspects
 *     but quarantines none of them, because the cause may be missing
 * @param started fingerprints of those requests that the server had started to answer, as far as it
 *     is known; they are more likely the cause than requests that were waiting
 */
@JsonPropertyOrder({"id", "fingerprints", "cleared", "complete"})
public record CrashReport(
    CrashId id,
    Set<String> fingerprints,
    Set<String> cleared,
    boolean complete,
    Set<String> started) {

  /**
   * Maximum number of fingerprints in a report: the requests that a backend server runs at once.
   */
  public static final int MAXIMUM_FINGERPRINTS = 256;

  /** Keeps the first fingerprints in sorted order, so that every daemon keeps the same ones. */
  public CrashReport {
    complete = complete && fingerprints.size() <= MAXIMUM_FINGERPRINTS;
    fingerprints =
        ImmutableSortedSet.copyOf(
            fingerprints.stream().sorted().limit(MAXIMUM_FINGERPRINTS).toList());
    cleared = ImmutableSortedSet.copyOf(Sets.intersection(fingerprints, Set.copyOf(cleared)));
    started = ImmutableSortedSet.copyOf(Sets.intersection(fingerprints, Set.copyOf(started)));
  }

  /**
   * Creates a report that does not tell which requests the server had started to answer. Daemons
   * exchange only such reports, and their messages have no place for more.
   */
  @JsonCreator(mode = JsonCreator.Mode.PROPERTIES)
  public CrashReport(
      @JsonProperty("id") CrashId id,
      @JsonProperty("fingerprints") Set<String> fingerprints,
      @JsonProperty("cleared") Set<String> cleared,
      @JsonProperty("complete") boolean complete) {
    this(id, fingerprints, cleared, complete, Set.of());
  }

  /**
   * Returns the fingerprints of the requests that may have caused the crash, that is, those that
   * are not cleared.
   */
  public Set<String> suspects() {
    return Sets.difference(fingerprints, cleared);
  }

  /**
   * Merges two states of the same report. Merging is commutative, associative and idempotent.
   *
   * @param other report with the same identity
   */
  CrashReport merge(CrashReport other) {
    return new CrashReport(
        id,
        Sets.union(fingerprints, other.fingerprints),
        Sets.union(cleared, other.cleared),
        complete && other.complete,
        Sets.union(started, other.started));
  }

  /**
   * Returns a copy in which a request is no longer a suspect.
   *
   * @param fingerprint fingerprint of the request
   */
  public CrashReport clear(String fingerprint) {
    return new CrashReport(
        id, fingerprints, Sets.union(cleared, Set.of(fingerprint)), complete, started);
  }

  @Override
  @JsonIgnore
  public Set<String> started() {
    return started;
  }

  /** Returns the text of which peers compare a hash. */
  @Override
  public String toString() {
    return "CrashReport[id="
        + id
        + ", fingerprints="
        + fingerprints
        + ", cleared="
        + cleared
        + ", complete="
        + complete
        + (started.isEmpty() ? "" : ", started=" + started)
        + "]";
  }
}
