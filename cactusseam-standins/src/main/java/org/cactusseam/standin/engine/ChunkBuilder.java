package org.cactusseam.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.cactusseam.standin.Json;

/**
 * Builds completion responses and server-sent events in the format of the OpenAI completion APIs.
 */
final class ChunkBuilder {

  /** Event that terminates a stream, after the last chunk. */
  static final String DONE = "data: [DONE]\n\n";

  private ChunkBuilder() {}

  /**
   * Builds the event of one token.
   *
   * @param stream stream that the token belongs to
   * @param index position of the token in the output, from 0; it becomes the event id
   * @param finish finish reason if the token is the last one
   */
  static String tokenEvent(TokenStream stream, int index, Optional<String> finish) {
    String text = TokenText.token(stream.request().prompt(), index);
    return "id: " + index + "\n" + dataEvent(chunk(stream, text, finish));
  }

  /**
   * Builds an event that carries only the finish reason, for a stream that ends after its last
   * token was sent. It has no event id.
   */
  static String endEvent(TokenStream stream, String finish) {
    return dataEvent(chunk(stream, "", Optional.of(finish)));
  }

  /** Builds the complete response to a request without streaming. */
  static ObjectNode completeResponse(TokenStream stream, String finish) {
    String text = TokenText.fullOutput(stream.request().prompt(), stream.produced());
    boolean chat = stream.request().chat();
    ObjectNode answer = commonMembers(stream, chat ? "chat.completion" : "text_completion");
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", finish);
    addUsage(answer, stream);
    return answer;
  }

  private static ObjectNode chunk(TokenStream stream, String text, Optional<String> finish) {
    boolean chat = stream.request().chat();
    ObjectNode chunk = commonMembers(stream, chat ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    if (chat) {
      choice.putObject("delta").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", finish.orElse(null));
    if (finish.isPresent()) {
      addUsage(chunk, stream);
    }
    return chunk;
  }

  private static ObjectNode commonMembers(TokenStream stream, String object) {
    return Json.object()
        .put("id", stream.request().stream())
        .put("object", object)
        .put("model", stream.request().model());
  }

  private static void addUsage(ObjectNode answer, TokenStream stream) {
    int prompt = stream.request().promptTokens();
    answer
        .putObject("usage")
        .put("prompt_tokens", prompt)
        .put("completion_tokens", stream.produced())
        .put("total_tokens", prompt + stream.produced());
  }

  private static String dataEvent(ObjectNode chunk) {
    return "data: " + Json.write(chunk) + "\n\n";
  }
}
