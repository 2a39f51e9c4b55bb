package org.cactusseam.edge.caller;

import org.cactusseam.edge.backend.GenerationRelay;
import org.cactusseam.model.ResultCode;

/** Receiver for a generation that is only cancelled. */
final class DiscardingSink implements GenerationRelay.Sink {

  @Override
  public void token(long index, String data) {
    // Tokens that arrive before the engine has cancelled the generation have no receiver.
  }

  @Override
  public void completed(String finish, long tokens) {
    // Nobody waits for the end of a cancelled generation.
  }

  @Override
  public void lost(ResultCode code, String detail) {
    // A generation that is gone needs no cancelling.
  }

  @Override
  public boolean isFull() {
    return false;
  }
}
