package org.cactusseam.edge.caller;

import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.Refusal;

/** Answer to a model request on its way to the caller. */
sealed interface CallerResponse permits StreamedResponse, CollectedResponse {

  /**
   * Writes a token.
   *
   * @param generation generation that it belongs to
   * @param index index of the token
   * @param data completion chunk
   */
  void token(GenerationId generation, long index, String data);

  /**
   * Writes the end of a whole answer.
   *
   * @param generation generation
   * @param finish last chunk
   * @param tokens number of tokens
   */
  void complete(GenerationId generation, String finish, long tokens);

  /**
   * Ends with a refusal.
   *
   * @param refusal numbered reason
   */
  void refuse(Refusal refusal);

  /**
   * Tells whether the caller reads too slowly for more tokens.
   *
   * @return true if no more should be written
   */
  boolean isFull();

  /**
   * Sets what to do when the caller has read enough for more tokens.
   *
   * @param action action, on the event loop of the connection
   */
  void onDrain(Runnable action);

  /**
   * Ends the answer with the request to resume elsewhere, if it can be resumed.
   *
   * @return false if this answer cannot be resumed and goes on
   */
  boolean handOver();
}
