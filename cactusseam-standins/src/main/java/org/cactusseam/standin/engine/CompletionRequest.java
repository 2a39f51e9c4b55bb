package org.cactusseam.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.MultiMap;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.UUID;
import org.cactusseam.logic.admission.PromptBlocks;
import org.cactusseam.logic.replay.EngineRequest;
import org.cactusseam.standin.InvalidInputException;
import org.cactusseam.standin.Json;

/**
 * A request for a completion.
 *
 * @param stream identity of the stream
 * @param rank priority; 0 is served first
 * @param fencingNumber fencing number, if the request has one
 * @param chat whether it came as a chat
 * @param streaming whether the answer is sent as events
 * @param model name of the model
 * @param prompt prompt; for chats {@code role: content} of each message, joined by line breaks
 * @param outputTokens tokens that the answer will have
 * @param limited whether {@code max_tokens} ends the answer
 */
public record CompletionRequest(
    String stream,
    int rank,
    OptionalLong fencingNumber,
    boolean chat,
    boolean streaming,
    String model,
    String prompt,
    int outputTokens,
    boolean limited) {

  /** Header with the identity of the stream. */
  public static final String STREAM_HEADER = "Cactusseam-Stream";

  /** Header with the priority. */
  public static final String PRIORITY_HEADER = "Cactusseam-Priority";

  /** Header with the fencing number. */
  public static final String FENCING_HEADER = "Cactusseam-Fencing-Number";

  /** Header with the output length, for tests. {@code max_tokens} limits it too. */
  public static final String TEST_LENGTH_HEADER = "Cactusseam-Test-Length";

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int UNLIMITED = Integer.MAX_VALUE;

  /**
   * Reads a request.
   *
   * @param chat whether it came as a chat
   * @param headers headers
   * @param body JSON body
   * @param options settings of the engine
   * @return the request
   * @throws InvalidInputException if the request does not follow the protocol
   */
  static CompletionRequest parse(
      boolean chat, MultiMap headers, String body, EngineOptions options) {
    JsonNode json = Json.parseObject(body);
    String prompt = chat ? joinMessages(json.path("messages")) : text(json, "prompt");
    long natural =
        headerNumber(headers, TEST_LENGTH_HEADER).orElse(OutputLength.of(prompt, options));
    long limit = json.path("max_tokens").asLong(UNLIMITED);
    if (limit < 1 || natural < 1) {
      throw new InvalidInputException("an output has at least one token");
    }
    String stream = headers.get(STREAM_HEADER);
    return new CompletionRequest(
        stream == null ? UUID.randomUUID().toString() : stream,
        (int) headerNumber(headers, PRIORITY_HEADER).orElse(0),
        headerNumber(headers, FENCING_HEADER),
        chat,
        json.path("stream").asBoolean(false),
        text(json, "model"),
        prompt,
        (int) Math.min(natural, limit),
        limit < natural);
  }

  /** Returns the length of the prompt in tokens. */
  int promptTokens() {
    return Math.max(1, Math.ceilDiv(prompt.length(), CHARACTERS_PER_TOKEN));
  }

  /** Returns the request as the engine model takes it. */
  EngineRequest toModel(EngineOptions options, boolean crashesEngine) {
    return new EngineRequest(
        stream,
        rank,
        promptTokens(),
        PromptBlocks.hashes(
            prompt, options.blockTokens() * CHARACTERS_PER_TOKEN, Integer.MAX_VALUE),
        outputTokens,
        crashesEngine);
  }

  private static String joinMessages(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      throw new InvalidInputException("messages must be a list with at least one element");
    }
    List<String> lines = new ArrayList<>();
    messages.forEach(message -> lines.add(text(message, "role") + ": " + text(message, "content")));
    return String.join("\n", lines);
  }

  private static String text(JsonNode json, String name) {
    JsonNode value = json.path(name);
    if (!value.isTextual()) {
      throw new InvalidInputException(name + " must be a text");
    }
    return value.asText();
  }

  private static OptionalLong headerNumber(MultiMap headers, String name) {
    String text = headers.get(name);
    if (text == null) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      throw new InvalidInputException(name + " is no number: " + text, e);
    }
  }
}
