package org.agatefield.daemon.http;

import io.vertx.core.buffer.Buffer;
import java.util.List;

/**
 * A validated model request body with the byte ranges that are replaced for the engine.
 *
 * <p>Immutable provided that {@code raw} is not modified.
 *
 * @param raw the body as the caller sent it, one JSON object
 * @param model the requested deployment or adapter
 * @param modelValue range of the value of {@code model}
 * @param seedValue range of the value of {@code seed}; empty if there is none
 * @param priorityValue range of the value of {@code priority}; empty if there is none
 * @param stream whether to answer with an event stream
 * @param choices number of answers requested
 * @param maximumTokens maximum number of tokens to generate
 * @param promptTokens estimated number of prompt tokens
 * @param prefixHashes hashes of ever longer prefixes of the prompt, one for each 256 bytes
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
   * Returns whether an interrupted stream can resume after its last token on another replica. If
   * one stream contains several answers, the number of tokens does not determine the position in
   * each.
   */
  boolean isResumable() {
    return choices == 1;
  }

  /**
   * Returns the body for an engine.
   *
   * @param engineModel the name under which the engine serves the version or adapter
   * @param firstToken number of leading tokens that the engine omits from its answer
   * @param seed sampling seed with which every replica generates the same tokens; used if the
   *     caller gave none
   * @param priority priority at the engine; lower values are served first
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
   * @param end one past the last byte; equal to {@code start} if the range is empty
   */
  record BodyRange(int start, int end) {
    static final BodyRange NONE = new BodyRange(0, 0);

    boolean isEmpty() {
      return start == end;
    }
  }
}
