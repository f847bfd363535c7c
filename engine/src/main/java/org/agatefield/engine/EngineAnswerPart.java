package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;

/**
 * One whole JSON object of an answer: the data of a server-sent event, or the whole answer.
 *
 * <p>Immutable as long as nobody changes {@code data}.
 *
 * @param data the object as the engine wrote it
 * @param id where the value of the top-level {@code id} lies, with its quotes
 * @param model where the value of the top-level {@code model} lies, with its quotes
 * @param tokens tokens of the answer so far, this part included, counted from the request's start
 * @param finished whether a choice has a finish reason
 */
public record EngineAnswerPart(
    Buffer data, ByteRange id, ByteRange model, int tokens, boolean finished) {

  /**
   * Returns the object with other values in place of its identifier and model.
   *
   * @param newId the identifier as a JSON string, with its quotes
   * @param newModel the model as a JSON string, with its quotes
   */
  public Buffer renamed(Buffer newId, Buffer newModel) {
    Buffer result = Buffer.buffer(data.length() + newId.length() + newModel.length());
    boolean idFirst = id.start() <= model.start();
    int position = copy(result, 0, idFirst ? id : model, idFirst ? newId : newModel);
    position = copy(result, position, idFirst ? model : id, idFirst ? newModel : newId);
    return result.appendBuffer(data, position, data.length() - position);
  }

  private int copy(Buffer result, int position, ByteRange range, Buffer replacement) {
    if (range.isEmpty()) {
      return position;
    }
    result.appendBuffer(data, position, range.start() - position);
    result.appendBuffer(replacement);
    return range.end();
  }
}
