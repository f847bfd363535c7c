package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;

/**
 * One JSON object of a response: the data of a server-sent event, or the complete response.
 *
 * <p>Immutable as long as {@code data} is not modified.
 *
 * @param data the object as sent by the engine
 * @param id the position of the value of the top-level {@code id}, including quotes
 * @param model the position of the value of the top-level {@code model}, including quotes
 * @param tokens the number of tokens up to and including this part, over all attempts
 * @param finished whether a choice has a finish reason
 */
public record EngineAnswerPart(
    Buffer data, ByteRange id, ByteRange model, int tokens, boolean finished) {

  /**
   * Returns the object with its identifier and model replaced.
   *
   * @param newId the identifier as a JSON string, including quotes
   * @param newModel the model as a JSON string, including quotes
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
