package org.agatefield.standin.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;

/** Formats generation responses in the OpenAI-compatible format. Stateless. */
final class AnswerFormat {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String END_MARKER = "data: [DONE]\n\n";

  private AnswerFormat() {}

  static Buffer roleEvent(RunningRequest request) {
    ObjectNode chunk = chunk(request);
    ObjectNode delta = choice(chunk, null).putObject("delta");
    delta.put("role", "assistant").put("content", "");
    return event(request, request.nextToken, chunk);
  }

  /** Returns the event for the token before {@code request.nextToken}. */
  static Buffer tokenEvent(RunningRequest request) {
    ObjectNode chunk = chunk(request);
    ObjectNode choice = choice(chunk, null);
    String token = request.tokens.token(Math.max(0, request.nextToken - 1));
    if (request.message.chat()) {
      choice.putObject("delta").put("content", token);
    } else {
      choice.put("text", token);
    }
    return event(request, request.nextToken, chunk);
  }

  static Buffer finishEvent(RunningRequest request) {
    ObjectNode chunk = chunk(request);
    ObjectNode choice = choice(chunk, "length");
    if (request.message.chat()) {
      choice.putObject("delta");
    } else {
      choice.put("text", "");
    }
    chunk.put("checksum", checksum(request));
    return event(request, request.nextToken, chunk);
  }

  static Buffer usageEvent(RunningRequest request) {
    ObjectNode chunk = chunk(request);
    chunk.putArray("choices");
    usage(chunk, request);
    return event(request, request.nextToken, chunk);
  }

  static Buffer endMarker() {
    return Buffer.buffer(END_MARKER);
  }

  static Buffer completeAnswer(RunningRequest request) {
    boolean chat = request.message.chat();
    ObjectNode answer = head(request, chat ? "chat.completion" : "text_completion");
    ObjectNode choice = choice(answer, "length");
    String text = request.tokens.text();
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    answer.put("checksum", checksum(request));
    usage(answer, request);
    return Buffer.buffer(answer.toString());
  }

  static Buffer error(String code, String message) {
    ObjectNode answer = MAPPER.createObjectNode();
    answer
        .putObject("error")
        .put("message", message)
        .put("type", "invalid_request_error")
        .put("code", code)
        .putNull("param");
    return Buffer.buffer(answer.toString());
  }

  private static String checksum(RunningRequest request) {
    return TokenSequence.checksum(request.message.prompt(), request.tokens.text());
  }

  private static ObjectNode chunk(RunningRequest request) {
    return head(request, request.message.chat() ? "chat.completion.chunk" : "text_completion");
  }

  private static ObjectNode head(RunningRequest request, String object) {
    String prefix = request.message.chat() ? "chatcmpl-" : "cmpl-";
    return MAPPER
        .createObjectNode()
        .put("id", prefix + request.requestId)
        .put("object", object)
        .put("created", System.currentTimeMillis() / 1000)
        .put("model", request.message.model());
  }

  private static ObjectNode choice(ObjectNode answer, String finishReason) {
    ObjectNode choice = answer.putArray("choices").addObject();
    return choice.put("index", 0).put("finish_reason", finishReason);
  }

  private static void usage(ObjectNode answer, RunningRequest request) {
    int promptTokens = 1 + request.message.prompt().length() / 4;
    answer
        .putObject("usage")
        .put("prompt_tokens", promptTokens)
        .put("completion_tokens", request.tokens.length())
        .put("total_tokens", promptTokens + request.tokens.length());
  }

  private static Buffer event(RunningRequest request, int position, ObjectNode data) {
    return Buffer.buffer("id: " + request.requestId + "/" + position + "\ndata: " + data + "\n\n");
  }
}
