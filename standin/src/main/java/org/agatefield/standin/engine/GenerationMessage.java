package org.agatefield.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A generation request as received. Immutable.
 *
 * @param chat whether it was sent to {@code /v1/chat/completions}
 * @param model the engine name of a version, or of a version and its adapter
 * @param prompt the prompt, or the contents of all messages
 * @param maximumTokens number of tokens to generate
 * @param firstToken number of tokens to skip
 * @param stream whether to answer with an event stream
 * @param includeUsage whether a stream ends with the usage
 * @param priority requests with a smaller number start first
 */
record GenerationMessage(
    boolean chat,
    String model,
    String prompt,
    int maximumTokens,
    int firstToken,
    boolean stream,
    boolean includeUsage,
    int priority) {
  private static final int DEFAULT_TOKENS = 16;

  static GenerationMessage read(boolean chat, JsonNode body) {
    int maximum = body.path("max_completion_tokens").asInt(0);
    if (maximum == 0) {
      maximum = body.path("max_tokens").asInt(DEFAULT_TOKENS);
    }
    return new GenerationMessage(
        chat,
        body.path("model").asText(),
        chat ? contents(body.path("messages")) : text(body.path("prompt")),
        maximum,
        body.path("continue_from_token").asInt(0),
        body.path("stream").asBoolean(false),
        body.path("stream_options").path("include_usage").asBoolean(false),
        body.path("priority").asInt(0));
  }

  private static String contents(JsonNode messages) {
    StringBuilder all = new StringBuilder();
    for (JsonNode message : messages) {
      all.append(text(message.path("content"))).append('\n');
    }
    return all.toString();
  }

  private static String text(JsonNode node) {
    return node.isTextual() ? node.asText() : node.toString();
  }
}
