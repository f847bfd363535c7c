package org.agatefield.daemon.http;

import io.vertx.core.buffer.Buffer;
import java.util.List;

/**
 * A request body for a model, checked, with the places that are changed for the engine.
 *
 * <p>Immutable as long as nobody changes {@code raw}.
 *
 * @param raw the body as the caller sent it, one JSON object
 * @param model the deployment or adapter asked for
 * @param modelValue where the value of {@code model} lies
 * @param seedValue where the value of {@code seed} lies; empty if there is none
 * @param priorityValue where the value of {@code priority} lies; empty if there is none
 * @param stream whether to answer with an event stream
 * @param choices number of answers asked for
 * @param maximumTokens the most tokens to generate
 * @param promptTokens estimated number of prompt tokens
 * @param prefixHashes hashes of the prompt's growing prefixes, one each 256 bytes
 */
record GenerationBody(
    Buffer raw,
    String model,
    BodyRange modelValue,
    BodyRange seedValue,
    BodyRange priorityValue,
    boolean stream,
    int choices,
    int maximumTokens,
    int promptTokens,
    List<Long> prefixHashes) {

  /** Copies the list. */
  GenerationBody {
    prefixHashes = List.copyOf(prefixHashes);
  }

  /**
   * Returns whether a stream that was cut can go on from its last token on another replica; with
   * several answers in one stream the number of tokens does not say where each stands.
   */
  boolean isResumable() {
    return choices == 1;
  }

  /**
   * Returns the body for an engine.
   *
   * @param engineModel the engine's name of the version or adapter
   * @param firstToken number of tokens that the engine leaves out
   * @param seed makes another replica sample the same tokens; used if the caller gave none
   * @param priority smaller ones go first
   */
  Buffer forEngine(String engineModel, int firstToken, long seed, int priority) {
    Buffer result = Buffer.buffer(raw.length() + 128 + engineModel.length());
    result.appendString("{");
    if (firstToken > 0) {
      result.appendString("\"continue_from_token\":" + firstToken + ",");
    }
    if (seedValue.isEmpty()) {
      result.appendString("\"seed\":" + seed + ",");
    }
    if (priorityValue.isEmpty()) {
      result.appendString("\"priority\":" + priority + ",");
    }
    appendEdited(result, objectStart() + 1, '"' + engineModel + '"', Integer.toString(priority));
    return result;
  }

  private int objectStart() {
    int position = 0;
    while (raw.getByte(position) != '{') {
      position++;
    }
    return position;
  }

  private void appendEdited(Buffer result, int start, String newModel, String newPriority) {
    boolean priorityFirst = !priorityValue.isEmpty() && priorityValue.start() < modelValue.start();
    int position = start;
    if (priorityFirst) {
      position = replace(result, position, priorityValue, newPriority);
    }
    position = replace(result, position, modelValue, newModel);
    if (!priorityFirst && !priorityValue.isEmpty()) {
      position = replace(result, position, priorityValue, newPriority);
    }
    result.appendBuffer(raw, position, raw.length() - position);
  }

  private int replace(Buffer result, int position, BodyRange range, String replacement) {
    result.appendBuffer(raw, position, range.start() - position);
    result.appendString(replacement);
    return range.end();
  }

  /**
   * A range of bytes of the body. Immutable.
   *
   * @param start the first byte
   * @param end one past the last byte; equal to {@code start} if there is nothing
   */
  record BodyRange(int start, int end) {
    static final BodyRange NONE = new BodyRange(0, 0);

    boolean isEmpty() {
      return start == end;
    }
  }
}
