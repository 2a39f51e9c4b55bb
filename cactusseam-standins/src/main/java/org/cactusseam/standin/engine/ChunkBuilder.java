package org.cactusseam.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.cactusseam.standin.Json;

/** Writes completions as clients of model engines know them. */
final class ChunkBuilder {

  /** Event after the last chunk. */
  static final String DONE = "data: [DONE]\n\n";

  private ChunkBuilder() {}

  /**
   * Writes the event of one token.
   *
   * @param stream stream
   * @param index position of the token
   * @param finish reason of the end if the token is the last one
   */
  static String tokenEvent(TokenStream stream, int index, Optional<String> finish) {
    String text = TokenText.token(stream.request().prompt(), index);
    return "id: " + index + "\n" + data(chunk(stream, text, finish));
  }

  /** Writes the event that ends a stream without another token. It has no index. */
  static String endEvent(TokenStream stream, String finish) {
    return data(chunk(stream, "", Optional.of(finish)));
  }

  /** Writes the answer to a request that does not stream. */
  static ObjectNode whole(TokenStream stream, String finish) {
    String text = TokenText.whole(stream.request().prompt(), stream.produced());
    boolean chat = stream.request().chat();
    ObjectNode answer = head(stream, chat ? "chat.completion" : "text_completion");
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
    ObjectNode chunk = head(stream, chat ? "chat.completion.chunk" : "text_completion");
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

  private static ObjectNode head(TokenStream stream, String object) {
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

  private static String data(ObjectNode chunk) {
    return "data: " + Json.write(chunk) + "\n\n";
  }
}
