package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Decides when one run moves from an engine that leaves to another one. Answers the load pattern in
 * which engines leave every few seconds with several long runs on each.
 *
 * <p>The memory is copied first while the run goes on. The run stops only shortly before the engine
 * ends: one link carries the copies of all runs of the engine one after the other, and a run that
 * stopped at once would wait behind the whole copies of the others. At most one call for a run is
 * in progress.
 */
public final class CopyPlan {

  /** Pause after a rejected copy: room at other engines appears when one of their runs ends. */
  static final Duration RETRY = Duration.ofMillis(100);

  private Optional<Copy> copy = Optional.empty();
  private final Set<String> rejectedBy = new HashSet<>();
  private Instant nextAttempt = Instant.MIN;
  private boolean inProgress;

  /**
   * A complete copy.
   *
   * @param holder engine that holds it
   * @param handle its identity at the source
   */
  public record Copy(ServerInstance holder, String handle) {}

  /** What is to be done for the run. */
  public sealed interface Step {

    /** Nothing for now. */
    record Nothing() implements Step {}

    /**
     * Copy the memory while the run goes on.
     *
     * @param target engine that receives the copy
     */
    record CopyTo(ServerInstance target) implements Step {}

    /**
     * Stop the run, copy the rest, and continue at the target.
     *
     * @param target engine that continues the run
     */
    record MoveTo(ServerInstance target) implements Step {}
  }

  /** What the plan asks of the other engines. */
  public interface Engines {

    /**
     * Returns whether an engine may receive requests.
     *
     * @param engine engine
     * @return whether it is listed and does not leave
     */
    boolean isUsable(ServerInstance engine);

    /**
     * Chooses an engine with room.
     *
     * @param excluded engines that must not be chosen
     * @return engine, if any has room
     */
    Optional<ServerInstance> choose(Set<String> excluded);
  }

  /**
   * Decides the next step.
   *
   * @param stopAt time at which runs stop at the engine, absent if it does not leave
   * @param engines the other engines
   * @param now time
   * @return step; a copy or a move counts as in progress until its result is told
   */
  public Step next(Optional<Instant> stopAt, Engines engines, Instant now) {
    copy = copy.filter(held -> engines.isUsable(held.holder()));
    if (inProgress || stopAt.isEmpty() || now.isBefore(nextAttempt)) {
      return new Step.Nothing();
    }
    Step step = copy.isPresent() ? moveInTime(stopAt.get(), now) : copyToAny(engines);
    inProgress = !(step instanceof Step.Nothing);
    return step;
  }

  private Step moveInTime(Instant stopAt, Instant now) {
    return now.isBefore(stopAt) ? new Step.Nothing() : new Step.MoveTo(copy.orElseThrow().holder());
  }

  private Step copyToAny(Engines engines) {
    Optional<ServerInstance> target = engines.choose(Set.copyOf(rejectedBy));
    if (target.isEmpty()) {
      rejectedBy.clear();
      return new Step.Nothing();
    }
    return new Step.CopyTo(target.get());
  }

  /**
   * A copy is complete.
   *
   * @param holder engine that holds it
   * @param handle its identity
   */
  public void copied(ServerInstance holder, String handle) {
    inProgress = false;
    copy = Optional.of(new Copy(holder, handle));
  }

  /**
   * A copy or a move did not succeed.
   *
   * @param target engine that was to receive it
   * @param now time
   */
  public void failed(ServerInstance target, Instant now) {
    inProgress = false;
    copy = Optional.empty();
    rejectedBy.add(target.id());
    nextAttempt = now.plus(RETRY);
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
