package org.cactusseam.logic.replay;

import java.util.Comparator;

/** Mutable scheduling state of an active request in {@link EngineModel}. */
final class Sequence {

  /** Service order: by priority rank, then by arrival. The last sequence is preempted first. */
  static final Comparator<Sequence> SERVICE_ORDER =
      Comparator.<Sequence>comparingInt(sequence -> sequence.request.rank())
          .thenComparingLong(sequence -> sequence.arrival);

  final EngineRequest request;
  final long arrival;

  /** Number of the cold phase in which the request arrived; 0 if the engine was warm. */
  final int coldPhase;

  /** Number of output tokens produced so far; kept across preemptions. */
  int produced;

  /** Number of tokens to prefill before the next output token. */
  int prefillLeft;

  /** Part of {@link #prefillLeft} that the current step processes. */
  int prefillChunk;

  /** Whether the blocks of the prompt still have to be stored in the prefix cache. */
  boolean prefixPending;

  /** Whether the sequence is in the batch and occupies memory. */
  boolean batched;

  Sequence(EngineRequest request, long arrival, int coldPhase) {
    this.request = request;
    this.arrival = arrival;
    this.coldPhase = coldPhase;
  }

  /** Returns the memory that the sequence occupies while it is in the batch, in tokens. */
  long memory() {
    return (long) request.promptTokens() + produced;
  }
}
