package org.cactusseam.logic.replay;

import java.time.Instant;
import java.util.List;

/**
 * State change of a simulated engine. {@link EngineModel#drain} returns events in the order of
 * their time.
 */
public sealed interface EngineEvent {

  /**
   * Returns the time of the event.
   *
   * @return simulated time
   */
  Instant at();

  /**
   * A request joined the running batch, for the first time or after a preemption.
   *
   * @param at time of the event
   * @param id identity of the request
   * @param cachedTokens number of prompt tokens found in the prefix cache
   */
  record Batched(Instant at, String id, int cachedTokens) implements EngineEvent {}

  /**
   * A request produced a token. Each index of a request is produced exactly once.
   *
   * @param at time of the event
   * @param id identity of the request
   * @param index position in the output, from 0
   */
  record Token(Instant at, String id, int index) implements EngineEvent {}

  /**
   * A request was preempted: it lost its KV-cache memory and returned to the queue.
   *
   * @param at time of the event
   * @param id identity of the request
   * @param producedTokens number of tokens that it had produced, whose KV cache must be recomputed
   */
  record Preempted(Instant at, String id, int producedTokens) implements EngineEvent {}

  /**
   * A request finished after its last token.
   *
   * @param at time of the event
   * @param id identity of the request
   * @param reason why the request finished
   * @param tokens number of tokens produced
   */
  record Finished(Instant at, String id, FinishReason reason, int tokens) implements EngineEvent {}

  /**
   * The engine crashed and lost all its requests.
   *
   * @param at time of the event
   * @param lost identities of the requests that were active
   */
  record Crashed(Instant at, List<String> lost) implements EngineEvent {}

  /**
   * The engine restarted after a crash and accepts requests.
   *
   * @param at time of the event
   * @param incarnation number of the new incarnation; the first is 1
   */
  record Restarted(Instant at, int incarnation) implements EngineEvent {}

  /**
   * A block was added to the prefix cache.
   *
   * @param at time of the event
   * @param block hash of the block
   */
  record PrefixStored(Instant at, long block) implements EngineEvent {}

  /**
   * A block was evicted from the prefix cache.
   *
   * @param at time of the event
   * @param block hash of the block
   */
  record PrefixEvicted(Instant at, long block) implements EngineEvent {}

  /** Reason why a request finished. */
  enum FinishReason {
    /** The request produced its whole output. */
    STOP,
    /** The request alone filled the memory of the engine, so its output was cut short. */
    LENGTH
  }
}
