package org.cactusseam.edge.control;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.admission.PermitRequestId;
import org.jspecify.annotations.Nullable;

/**
 * Detects crashes of one backend server: a stream broke, and the incarnation changed or a
 * connection was refused. A broken stream alone may be a fault of the network.
 */
final class CrashDetector {

  /**
   * A crash.
   *
   * @param incarnation run that ended
   * @param attempts fingerprints of the attempts that ran and had not ended
   */
  record Crash(String incarnation, Map<PermitRequestId, String> attempts) {

    /** Copies the map. */
    Crash {
      attempts = Map.copyOf(attempts);
    }
  }

  private record Suspected(Instant since, Map<PermitRequestId, String> attempts) {}

  private final Map<PermitRequestId, String> running = new HashMap<>();

  /** Attempts of the run before the present one whose ends are not known yet. */
  private final Map<PermitRequestId, String> former = new HashMap<>();

  private String incarnation = "unknown";
  private String formerIncarnation = incarnation;
  private @Nullable Suspected suspected;

  void started(PermitRequestId attempt, String fingerprint) {
    running.put(attempt, fingerprint);
  }

  /** Notes the end of an attempt that did not break. */
  void ended(PermitRequestId attempt) {
    running.remove(attempt);
    former.remove(attempt);
    if (suspected != null) {
      suspected.attempts.remove(attempt);
    }
  }

  /** Notes that a stream broke; returns the crash if the server is known to have restarted. */
  Optional<Crash> broke(PermitRequestId attempt, Instant now) {
    if (former.containsKey(attempt)) {
      Crash crash = new Crash(formerIncarnation, former);
      former.clear();
      return Optional.of(crash);
    }
    String fingerprint = running.get(attempt);
    if (fingerprint != null) {
      Map<PermitRequestId, String> attempts =
          suspected == null ? new HashMap<>(running) : suspected.attempts;
      attempts.put(attempt, fingerprint);
      // Only an answer to a question after the latest break says that the server survived it.
      suspected = new Suspected(now, attempts);
    }
    running.remove(attempt);
    return Optional.empty();
  }

  /** Tells whether a stream broke and it is not known yet whether the server crashed. */
  boolean isSuspected() {
    return suspected != null;
  }

  /** Tells whether the attempt's end depends on whether the server crashed. */
  boolean awaits(PermitRequestId attempt) {
    return suspected != null && suspected.attempts.containsKey(attempt);
  }

  /** Notes the head of a response to an attempt. */
  Optional<Crash> confirmed(PermitRequestId attempt, String heard, Instant now) {
    if (!heard.equals(incarnation) && !heard.equals(formerIncarnation)) {
      return confirmedByNextRun(attempt, heard, now);
    }
    Optional<Crash> crash = heard(heard, now);
    String fingerprint = former.get(attempt);
    if (fingerprint != null && heard.equals(incarnation)) {
      former.remove(attempt);
      running.put(attempt, fingerprint);
    }
    return crash;
  }

  /** The attempt runs at the next run, so it is no suspect of the crash of this one. */
  private Optional<Crash> confirmedByNextRun(PermitRequestId attempt, String heard, Instant now) {
    Optional<String> fingerprint =
        Optional.ofNullable(running.remove(attempt))
            .or(() -> Optional.ofNullable(former.get(attempt)));
    if (suspected != null) {
      suspected.attempts.remove(attempt);
    }
    Optional<Crash> crash = heard(heard, now);
    fingerprint.ifPresent(found -> running.put(attempt, found));
    return crash;
  }

  /**
   * Notes an incarnation.
   *
   * @param heard incarnation that the server stated
   * @param askedAt when it was asked; an answer to an older question says nothing about a break
   */
  Optional<Crash> heard(String heard, Instant askedAt) {
    Suspected open = suspected;
    if (heard.equals(incarnation)) {
      if (open != null && askedAt.isAfter(open.since)) {
        suspected = null;
      }
      return Optional.empty();
    }
    if (heard.equals(formerIncarnation)) {
      return Optional.empty();
    }
    boolean first = "unknown".equals(incarnation);
    Map<PermitRequestId, String> unended = Map.copyOf(running);
    Optional<Crash> crash = first && open == null ? Optional.empty() : refused();
    formerIncarnation = incarnation;
    incarnation = heard;
    if (!first) {
      former.clear();
      former.putAll(unended);
      running.clear();
    }
    return crash;
  }

  /**
   * Notes that the server refused a connection. An attempt that was granted after the break may
   * have been sent before the crash, since the break itself may be a fault of the network.
   */
  Optional<Crash> refused() {
    Suspected open = suspected;
    if (open == null) {
      return Optional.empty();
    }
    suspected = null;
    Map<PermitRequestId, String> attempts = new HashMap<>(running);
    attempts.putAll(open.attempts);
    running.keySet().removeAll(open.attempts.keySet());
    return Optional.of(new Crash(incarnation, attempts));
  }
}
