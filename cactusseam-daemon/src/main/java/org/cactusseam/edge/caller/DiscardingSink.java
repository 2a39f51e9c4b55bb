package org.cactusseam.edge.caller;

import org.cactusseam.edge.backend.GenerationRelay;
import org.cactusseam.model.ResultCode;

/** Sink for a generation that is only cancelled: discards everything. */
final class DiscardingSink implements GenerationRelay.Sink {

  @Override
  public void onToken(long index, String data) {
    // Tokens that arrive before the engine has cancelled the generation are not needed.
  }

  @Override
  public void onCompleted(String finish, long tokens) {
    // No response depends on the end of a cancelled generation.
  }

  @Override
  public void onLost(ResultCode code, String detail) {
    // A generation that the engine no longer has needs no cancellation.
  }

  @Override
  public boolean isFull() {
    return false;
  }
}
