package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Decides when the memory of one run is copied from an engine that leaves to another one, where the
 * run continues when its stream breaks off. Answers the load pattern in which engines leave every
 * few seconds with several long runs on each.
 *
 * <p>The run goes on while it is copied, until the engine ends. Stopping it for the last part of
 * the copy would cost more: one link carries the copies of all runs of the engine one after the
 * other, and the last part of one run waits behind the whole copies of the others. At most one call
 * for a run is in progress.
 */
public final class KvCopySchedule {

  /**
   * Age at which a copy is brought up to date. What the copy lacks is read again: some 60 tokens
   * after this time. Engines keep a copy for 5 s after its last part (configuration).
   */
  static final Duration REFRESH = Duration.ofMillis(500);

  /** Pause after a rejected copy: room at other engines appears when one of their runs ends. */
  static final Duration RETRY = Duration.ofMillis(50);

  private Optional<Copy> copy = Optional.empty();
  private final Set<String> rejectedBy = new HashSet<>();
  private Instant nextCall = Instant.MIN;
  private boolean inProgress;

  /**
   * A complete copy.
   *
   * @param holder engine that holds it
   * @param handle its identity at the source
   */
  public record Copy(ServerInstance holder, String handle) {}

  /** What the plan asks of the other engines. */
  public interface Engines {

    /**
     * Returns whether an engine may receive requests.
     *
     * @param engine engine
     * @return whether it is listed and has not announced that it leaves
     */
    boolean isUsable(ServerInstance engine);

    /**
     * Returns whether an engine leaves.
     *
     * @param engine engine
     * @return whether it has said so, in its entry or in a report
     */
    boolean isLeaving(ServerInstance engine);

    /**
     * Chooses an engine with room.
     *
     * @param excluded engines that must not be chosen
     * @return engine, if any has room
     */
    Optional<ServerInstance> choose(Set<String> excluded);
  }

  /**
   * Decides whether to copy the run now.
   *
   * @param leaving whether the engine of the run leaves
   * @param engines the other engines
   * @param now time
   * @return engine that is to receive the copy; the call counts as in progress until its result is
   *     told
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

  /** A holder that leaves keeps its copy as long as no other engine has one. */
  private Set<String> excluded() {
    Set<String> excluded = new HashSet<>(rejectedBy);
    copy.ifPresent(held -> excluded.add(held.holder().id()));
    return excluded;
  }

  /**
   * A copy is complete.
   *
   * @param holder engine that holds it
   * @param handle its identity
   * @param now time
   */
  public void recordCopied(ServerInstance holder, String handle, Instant now) {
    inProgress = false;
    copy = Optional.of(new Copy(holder, handle));
    nextCall = now.plus(REFRESH);
  }

  /**
   * An engine has rejected a copy, or the update of one. A copy that it holds already stays:
   * engines keep a copy for some seconds after its last part, and what it lacks is read again.
   *
   * @param target engine that was to receive it
   * @param now time
   */
  public void recordRejected(ServerInstance target, Instant now) {
    inProgress = false;
    if (copy.filter(held -> held.holder().id().equals(target.id())).isPresent()) {
      nextCall = now.plus(REFRESH);
    } else {
      rejectedBy.add(target.id());
      nextCall = now.plus(RETRY);
    }
  }

  /**
   * A call has no answer. An earlier copy is still held.
   *
   * @param now time
   */
  public void recordUnanswered(Instant now) {
    inProgress = false;
    nextCall = now.plus(REFRESH);
  }

  /**
   * Returns the copy that was made.
   *
   * @return copy, if there is one
   */
  public Optional<Copy> copy() {
    return copy;
  }
}
