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
 * A parsed completion or chat completion request.
 *
 * @param stream identifier of the stream
 * @param rank priority rank; 0 is scheduled first
 * @param fencingNumber fencing number of the sender, if the request has one
 * @param chat whether it is a chat completion request
 * @param streaming whether the response is sent as server-sent events
 * @param model name of the requested model
 * @param prompt prompt; for chats, {@code role: content} of each message, joined by line breaks
 * @param outputTokens output length in tokens
 * @param limited whether {@code max_tokens} truncates the output
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

  /** Header with the identifier of the stream. */
  public static final String STREAM_HEADER = "Cactusseam-Stream";

  /** Header with the priority rank; 0 if absent. */
  public static final String PRIORITY_HEADER = "Cactusseam-Priority";

  /** Header with the fencing number of the sender. */
  public static final String FENCING_HEADER = "Cactusseam-Fencing-Number";

  /** Header by which tests set the output length in tokens. {@code max_tokens} still limits it. */
  public static final String TEST_LENGTH_HEADER = "Cactusseam-Test-Length";

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int UNLIMITED = Integer.MAX_VALUE;

  /**
   * Parses an HTTP request.
   *
   * @param chat whether it is a chat completion request
   * @param headers HTTP headers
   * @param body JSON body
   * @param options settings of the engine, which determine the output length
   * @return parsed request
   * @throws InvalidInputException if the request violates the protocol
   */
  static CompletionRequest parse(
      boolean chat, MultiMap headers, String body, EngineOptions options) {
    JsonNode json = Json.parseObject(body);
    String prompt = chat ? joinChatMessages(json.path("messages")) : requireText(json, "prompt");
    long unlimitedLength =
        parseHeaderNumber(headers, TEST_LENGTH_HEADER).orElse(OutputLength.of(prompt, options));
    long limit = json.path("max_tokens").asLong(UNLIMITED);
    if (limit < 1 || unlimitedLength < 1) {
      throw new InvalidInputException("max_tokens and the output length must be at least 1");
    }
    String stream = headers.get(STREAM_HEADER);
    return new CompletionRequest(
        stream == null ? UUID.randomUUID().toString() : stream,
        (int) parseHeaderNumber(headers, PRIORITY_HEADER).orElse(0),
        parseHeaderNumber(headers, FENCING_HEADER),
        chat,
        json.path("stream").asBoolean(false),
        requireText(json, "model"),
        prompt,
        (int) Math.min(unlimitedLength, limit),
        limit < unlimitedLength);
  }

  /** Returns the length of the prompt in tokens, at 4 characters per token; at least 1. */
  int promptTokens() {
    return Math.max(1, Math.ceilDiv(prompt.length(), CHARACTERS_PER_TOKEN));
  }

  /** Converts the request to the input of the engine model. */
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

  private static String joinChatMessages(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      throw new InvalidInputException("messages must be a non-empty list");
    }
    List<String> lines = new ArrayList<>();
    messages.forEach(
        message ->
            lines.add(requireText(message, "role") + ": " + requireText(message, "content")));
    return String.join("\n", lines);
  }

  private static String requireText(JsonNode json, String name) {
    JsonNode value = json.path(name);
    if (!value.isTextual()) {
      throw new InvalidInputException(name + " must be a string");
    }
    return value.asText();
  }

  private static OptionalLong parseHeaderNumber(MultiMap headers, String name) {
    String text = headers.get(name);
    if (text == null) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      throw new InvalidInputException(name + " is not a number: " + text, e);
    }
  }
}
