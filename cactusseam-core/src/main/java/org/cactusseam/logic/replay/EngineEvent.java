package org.cactusseam.logic.replay;

import java.time.Instant;
import java.util.List;

/** What happened in a simulated engine. Events are drained in the order of their time. */
public sealed interface EngineEvent {

  /**
   * Returns the time of the event.
   *
   * @return the time
   */
  Instant at();

  /**
   * A request entered the batch, for the first time or again after a preemption.
   *
   * @param at time
   * @param id request
   * @param cachedTokens prompt tokens that the prefix cache supplied
   */
  record Batched(Instant at, String id, int cachedTokens) implements EngineEvent {}

  /**
   * A token was produced. Each index of a request is produced once.
   *
   * @param at time
   * @param id request
   * @param index position in the output, from 0
   */
  record Token(Instant at, String id, int index) implements EngineEvent {}

  /**
   * A request lost its memory and waits again.
   *
   * @param at time
   * @param id request
   * @param producedTokens tokens that it had produced, to be computed again
   */
  record Preempted(Instant at, String id, int producedTokens) implements EngineEvent {}

  /**
   * A request ended after its last token.
   *
   * @param at time
   * @param id request
   * @param reason why it ended
   * @param tokens tokens produced
   */
  record Finished(Instant at, String id, FinishReason reason, int tokens) implements EngineEvent {}

  /**
   * The engine crashed and lost all its requests.
   *
   * @param at time
   * @param lost requests that were active
   */
  record Crashed(Instant at, List<String> lost) implements EngineEvent {}

  /**
   * The engine accepts requests again.
   *
   * @param at time
   * @param incarnation number of the new incarnation
   */
  record Restarted(Instant at, int incarnation) implements EngineEvent {}

  /**
   * A block entered the prefix cache.
   *
   * @param at time
   * @param block hash of the block
   */
  record PrefixStored(Instant at, long block) implements EngineEvent {}

  /**
   * A block left the prefix cache.
   *
   * @param at time
   * @param block hash of the block
   */
  record PrefixEvicted(Instant at, long block) implements EngineEvent {}

  /** Why a request ended. */
  enum FinishReason {
    /** The output is complete. */
    STOP,
    /** The memory of the whole engine was full with this request alone. */
    LENGTH
  }
}
