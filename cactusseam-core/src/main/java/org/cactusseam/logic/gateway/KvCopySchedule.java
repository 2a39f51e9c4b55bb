package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Decides when the KV cache of one run is copied from a leaving engine to another engine, where the
 * run continues when its stream breaks. Without the copies, deployments in which engines leave
 * every few seconds lose several long runs with each engine.
 *
 * <p>The run keeps generating while it is copied, until the engine stops. Pausing it for the last
 * part of the copy would cost more: the copies of all runs of the engine share one link and are
 * sent one after the other, so the last part of one run would wait behind the complete copies of
 * the others. At most one copy call per run is in progress.
 */
public final class KvCopySchedule {

  /**
   * Age at which a copy is refreshed. Tokens that are missing in the copy, about 60 after this
   * time, are recomputed by prefill. Engines discard a copy 5 s after they received its last part.
   */
  public static final Duration REFRESH_INTERVAL = Duration.ofMillis(500);

  /**
   * Delay after a rejected copy. Memory at other engines becomes free when one of their runs ends.
   */
  static final Duration RETRY_DELAY = Duration.ofMillis(50);

  private Optional<Copy> copy = Optional.empty();
  private final Set<String> rejectedBy = new HashSet<>();
  private Instant nextCall = Instant.MIN;
  private boolean inProgress;

  /**
   * A complete copy of the KV cache of the run.
   *
   * @param holder engine that holds it
   * @param handle identifier of the copy at the source engine
   */
  public record Copy(ServerInstance holder, String handle) {}

  /** State of the other engines, as the schedule needs it. */
  public interface Engines {

    /**
     * Returns whether an engine may receive the run.
     *
     * @param engine engine that holds a copy or may receive one
     * @return whether it is listed and its entry does not announce that it is leaving
     */
    boolean isUsable(ServerInstance engine);

    /**
     * Returns whether an engine is leaving.
     *
     * @param engine engine that holds a copy or may receive one
     * @return whether its entry or one of its reports says so
     */
    boolean isLeaving(ServerInstance engine);

    /**
     * Chooses an engine that has memory for the copy.
     *
     * @param excluded identifiers of engines that must not be chosen
     * @return engine, or empty if none has enough memory
     */
    Optional<ServerInstance> choose(Set<String> excluded);
  }

  /**
   * Returns the engine to copy the run to now, if a copy is due. The call counts as in progress
   * until its result is recorded.
   *
   * @param leaving whether the engine of the run is leaving
   * @param engines state of the other engines
   * @return target of the copy, or empty if none is due or no engine has memory for it
   */
  public Optional<ServerInstance> next(boolean leaving, Engines engines, Instant now) {
    copy = copy.filter(held -> engines.isUsable(held.holder()));
    if (inProgress || !leaving || now.isBefore(nextCall)) {
      return Optional.empty();
    }
    Optional<ServerInstance> target =
        copy.map(Copy::holder)
            .filter(holder -> !engines.isLeaving(holder))
            .or(() -> engines.choose(excluded()));
    if (target.isEmpty()) {
      rejectedBy.clear();
    }
    inProgress = target.isPresent();
    return target;
  }

  /** Excludes the holder of the present copy, which stays valid until another engine has one. */
  private Set<String> excluded() {
    Set<String> excluded = new HashSet<>(rejectedBy);
    copy.ifPresent(held -> excluded.add(held.holder().id()));
    return excluded;
  }

  /**
   * Records that a copy is complete.
   *
   * @param holder engine that holds it
   * @param handle identifier of the copy
   */
  public void recordCopied(ServerInstance holder, String handle, Instant now) {
    inProgress = false;
    copy = Optional.of(new Copy(holder, handle));
    nextCall = now.plus(REFRESH_INTERVAL);
  }

  /**
   * Records that an engine has rejected a copy or the refresh of one. A copy that it already holds
   * stays valid: engines keep it for some seconds after its last part, and missing tokens are
   * recomputed.
   *
   * @param target engine that rejected the call
   */
  public void recordRejected(ServerInstance target, Instant now) {
    inProgress = false;
    if (copy.filter(held -> held.holder().id().equals(target.id())).isPresent()) {
      nextCall = now.plus(REFRESH_INTERVAL);
    } else {
      rejectedBy.add(target.id());
      nextCall = now.plus(RETRY_DELAY);
    }
  }

  /** Records that a copy call got no answer. An earlier copy remains valid. */
  public void recordUnanswered(Instant now) {
    inProgress = false;
    nextCall = now.plus(REFRESH_INTERVAL);
  }

  /**
   * Returns the latest complete copy.
   *
   * @return copy, or empty if none is complete or its holder is no longer usable
   */
  public Optional<Copy> copy() {
    return copy;
  }
}
