package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Decides when the memory of one run is copied to another engine, and when the run moves there.
 * Answers the load pattern in which engines leave every few seconds, with less notice than the
 * copies of all their runs take: one link carries the copies one after the other, so a run that has
 * no usable backup is copied before its engine announces that it leaves, and only the rest is left
 * to copy then. At most one call for a run is in progress.
 */
public final class CopyPlan {

  /**
   * Age at which a copy is brought up to date. Engines keep a copy for 5 s after its last part
   * (configuration of both deployments), and a copy of this age lacks some 300 tokens at most.
   */
  static final Duration REFRESH = Duration.ofMillis(2_500);

  /** Pause after a rejected copy: room at other engines appears when one of their runs ends. */
  static final Duration RETRY = Duration.ofMillis(250);

  private Optional<Held> held = Optional.empty();
  private final Set<String> rejectedBy = new HashSet<>();
  private Instant nextAttempt = Instant.MIN;
  private boolean inProgress;

  private record Held(ServerInstance holder, String handle, Instant updatedAt) {}

  /** What is to be done for the run. */
  public sealed interface Step {

    /** Nothing for now. */
    record Nothing() implements Step {}

    /**
     * Copy the memory while the run goes on.
     *
     * @param target engine that receives the copy
     */
    record Copy(ServerInstance target) implements Step {}

    /**
     * Stop the run, copy the rest, and continue at the target.
     *
     * @param target engine that continues the run
     */
    record Move(ServerInstance target) implements Step {}
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
   * @param source engine of the run
   * @param backup engine that receives the run's memory as it grows, if there is one
   * @param engines the other engines
   * @param now time
   * @return step; a copy or a move counts as in progress until its result is told
   */
  public Step next(
      ServerInstance source, Optional<ServerInstance> backup, Engines engines, Instant now) {
    held = held.filter(copy -> engines.isUsable(copy.holder()));
    if (inProgress || now.isBefore(nextAttempt) || backup.filter(engines::isUsable).isPresent()) {
      return new Step.Nothing();
    }
    Step step = engines.isUsable(source) ? keep(engines, now) : leave(engines);
    inProgress = !(step instanceof Step.Nothing);
    return step;
  }

  private Step keep(Engines engines, Instant now) {
    if (held.isEmpty()) {
      return copyToAny(engines);
    }
    return held.get().updatedAt().plus(REFRESH).isAfter(now)
        ? new Step.Nothing()
        : new Step.Copy(held.get().holder());
  }

  private Step leave(Engines engines) {
    return held.isPresent() ? new Step.Move(held.get().holder()) : copyToAny(engines);
  }

  private Step copyToAny(Engines engines) {
    Optional<ServerInstance> target = engines.choose(Set.copyOf(rejectedBy));
    if (target.isEmpty()) {
      rejectedBy.clear();
      return new Step.Nothing();
    }
    return new Step.Copy(target.get());
  }

  /**
   * A copy is complete.
   *
   * @param holder engine that holds it
   * @param handle its identity
   * @param now time
   */
  public void copied(ServerInstance holder, String handle, Instant now) {
    inProgress = false;
    held = Optional.of(new Held(holder, handle, now));
  }

  /**
   * A copy or a move did not succeed.
   *
   * @param target engine that was to receive it
   * @param now time
   */
  public void failed(ServerInstance target, Instant now) {
    inProgress = false;
    held = Optional.empty();
    rejectedBy.add(target.id());
    nextAttempt = now.plus(RETRY);
  }

  /**
   * Returns the copy that was made, for a run that broke off.
   *
   * @return holder and handle of the copy
   */
  public Optional<HeldCopy> copy() {
    return held.map(copy -> new HeldCopy(copy.holder(), copy.handle()));
  }

  /**
   * A complete copy.
   *
   * @param holder engine that holds it
   * @param handle its identity at the source
   */
  public record HeldCopy(ServerInstance holder, String handle) {}
}
