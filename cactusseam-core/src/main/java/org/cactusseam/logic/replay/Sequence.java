package org.cactusseam.logic.replay;

import java.util.Comparator;

/** Mutable state of an active request inside {@link EngineModel}. */
final class Sequence {

  /** The order of service: priority first, then arrival. The last one is preempted first. */
  static final Comparator<Sequence> SERVICE_ORDER =
      Comparator.<Sequence>comparingInt(sequence -> sequence.request.rank())
          .thenComparingLong(sequence -> sequence.arrival);

  final EngineRequest request;
  final long arrival;

  /** Number of the cold phase that the request arrived in; 0 if the engine was warm. */
  final int coldPhase;

  /** Tokens produced so far; survives preemption. */
  int produced;

  /** Tokens that must be computed before the next token is produced. */
  int prefillLeft;

  /** Part of {@link #prefillLeft} that the current step computes. */
  int prefillChunk;

  /** Whether the prompt still has to be recorded in the prefix cache. */
  boolean prefixPending;

  /** Whether the sequence is in the batch and holds memory. */
  boolean batched;

  Sequence(EngineRequest request, long arrival, int coldPhase) {
    this.request = request;
    this.arrival = arrival;
    this.coldPhase = coldPhase;
  }

  /** Returns the memory that the sequence holds while it is in the batch. */
  long memory() {
    return (long) request.promptTokens() + produced;
  }
}
