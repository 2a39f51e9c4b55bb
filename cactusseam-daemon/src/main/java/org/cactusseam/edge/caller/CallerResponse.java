package org.cactusseam.edge.caller;

import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.Refusal;

/** Writes the response of a model request to the caller, as a stream or as one JSON object. */
sealed interface CallerResponse permits StreamedResponse, CollectedResponse {

  /**
   * Writes a token, or collects it for the end of the response.
   *
   * @param generation generation that the token belongs to
   * @param index index of the token within the generation, from 0
   * @param data completion chunk of the engine, as JSON
   */
  void writeToken(GenerationId generation, long index, String data);

  /**
   * Completes the response after the last token.
   *
   * @param generation generation that is complete
   * @param finish last completion chunk, with finish reason and usage
   * @param tokens number of tokens of the whole generation
   */
  void complete(GenerationId generation, String finish, long tokens);

  /**
   * Ends the response with an error.
   *
   * @param refusal result code and detail for the caller
   */
  void refuse(Refusal refusal);

  /**
   * Tells whether the write queue to the caller is full, because the caller reads too slowly.
   *
   * @return true if nothing more should be written until the queue has drained
   */
  boolean isFull();

  /**
   * Sets the action to run when a full write queue has drained.
   *
   * @param action called on the event loop of the connection
   */
  void onDrain(Runnable action);

  /**
   * Ends the response with a request to the caller to resume it at another daemon, if it is
   * resumable.
   *
   * @return false if this response is not resumable and continues
   */
  boolean handOver();
}
