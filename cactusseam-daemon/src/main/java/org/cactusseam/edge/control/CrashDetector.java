package org.cactusseam.edge.control;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.admission.PermitRequestId;
import org.jspecify.annotations.Nullable;

/**
 * Detects crashes of one backend server. A stream that broke alone may be a network fault; it
 * counts as a crash if the server also reports another incarnation or refuses a connection.
 */
final class CrashDetector {

  /**
   * A detected crash.
   *
   * @param incarnation incarnation of the server that crashed
   * @param attempts fingerprints of the attempts that ran on it and had not ended
   */
  record Crash(String incarnation, Map<PermitRequestId, String> attempts) {

    /** Copies the attempts. */
    Crash {
      attempts = Map.copyOf(attempts);
    }
  }

  private record SuspectedCrash(Instant lastBreakAt, Map<PermitRequestId, String> attempts) {}

  private final Map<PermitRequestId, String> running = new HashMap<>();

  /** Attempts that ran on the previous incarnation and whose ends have not been reported yet. */
  private final Map<PermitRequestId, String> previousAttempts = new HashMap<>();

  private String incarnation = "unknown";
  private String previousIncarnation = incarnation;
  private @Nullable SuspectedCrash suspectedCrash;

  void recordStart(PermitRequestId attempt, String fingerprint) {
    running.put(attempt, fingerprint);
  }

  /** Records the end of an attempt whose stream did not break. */
  void recordEnd(PermitRequestId attempt) {
    running.remove(attempt);
    previousAttempts.remove(attempt);
    if (suspectedCrash != null) {
      suspectedCrash.attempts.remove(attempt);
    }
  }

  /**
   * Records that the stream of an attempt broke. Returns the crash if the server is already known
   * to have restarted.
   */
  Optional<Crash> recordBrokenStream(PermitRequestId attempt, Instant now) {
    if (previousAttempts.containsKey(attempt)) {
      Crash crash = new Crash(previousIncarnation, previousAttempts);
      previousAttempts.clear();
      return Optional.of(crash);
    }
    String fingerprint = running.get(attempt);
    if (fingerprint != null) {
      Map<PermitRequestId, String> attempts =
          suspectedCrash == null ? new HashMap<>(running) : suspectedCrash.attempts;
      attempts.put(attempt, fingerprint);
      // Only a load report requested after the latest break shows that the server survived it.
      suspectedCrash = new SuspectedCrash(now, attempts);
    }
    running.remove(attempt);
    return Optional.empty();
  }

  /** Returns whether a stream broke and it is not known yet whether the server crashed. */
  boolean isSuspected() {
    return suspectedCrash != null;
  }

  /**
   * Returns whether the attempt would be part of the suspected crash, so that it is not known yet
   * whether its failure was caused by one.
   */
  boolean isSuspect(PermitRequestId attempt) {
    return suspectedCrash != null && suspectedCrash.attempts.containsKey(attempt);
  }

  /** Records that a response to an attempt started, with the incarnation that its head reported. */
  Optional<Crash> recordConfirmation(PermitRequestId attempt, String reported, Instant now) {
    if (!reported.equals(incarnation) && !reported.equals(previousIncarnation)) {
      return recordConfirmationByNextIncarnation(attempt, reported, now);
    }
    Optional<Crash> crash = recordIncarnation(reported, now);
    String fingerprint = previousAttempts.get(attempt);
    if (fingerprint != null && reported.equals(incarnation)) {
      previousAttempts.remove(attempt);
      running.put(attempt, fingerprint);
    }
    return crash;
  }

  /**
   * Handles a response from an incarnation not seen before. The attempt runs on that one, so it
   * cannot have caused the crash of the current incarnation.
   */
  private Optional<Crash> recordConfirmationByNextIncarnation(
      PermitRequestId attempt, String reported, Instant now) {
    Optional<String> fingerprint =
        Optional.ofNullable(running.remove(attempt))
            .or(() -> Optional.ofNullable(previousAttempts.get(attempt)));
    if (suspectedCrash != null) {
      suspectedCrash.attempts.remove(attempt);
    }
    Optional<Crash> crash = recordIncarnation(reported, now);
    fingerprint.ifPresent(found -> running.put(attempt, found));
    return crash;
  }

  /**
   * Records the incarnation of a load report or of the head of a response.
   *
   * @param reported incarnation that the server reported
   * @param askedAt when it was asked; a report requested before the last break does not rule out a
   *     crash
   */
  Optional<Crash> recordIncarnation(String reported, Instant askedAt) {
    SuspectedCrash suspicion = suspectedCrash;
    if (reported.equals(incarnation)) {
      if (suspicion != null && askedAt.isAfter(suspicion.lastBreakAt)) {
        suspectedCrash = null;
      }
      return Optional.empty();
    }
    if (reported.equals(previousIncarnation)) {
      return Optional.empty();
    }
    boolean isFirst = "unknown".equals(incarnation);
    Map<PermitRequestId, String> unfinished = Map.copyOf(running);
    Optional<Crash> crash =
        isFirst && suspicion == null ? Optional.empty() : recordRefusedConnection();
    previousIncarnation = incarnation;
    incarnation = reported;
    if (!isFirst) {
      previousAttempts.clear();
      previousAttempts.putAll(unfinished);
      running.clear();
    }
    return crash;
  }

  /**
   * Records that the server refused a connection. The attempts that were granted after the break
   * are also part of the crash: the break itself may have been a network fault, and the server may
   * have crashed on one of them later.
   */
  Optional<Crash> recordRefusedConnection() {
    SuspectedCrash suspicion = suspectedCrash;
    if (suspicion == null) {
      return Optional.empty();
    }
    suspectedCrash = null;
    Map<PermitRequestId, String> attempts = new HashMap<>(running);
    attempts.putAll(suspicion.attempts);
    running.keySet().removeAll(suspicion.attempts.keySet());
    return Optional.of(new Crash(incarnation, attempts));
  }
}
