package org.agatefield.daemon.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.Json;

/**
 * The identifier and the model name in every part of an answer, whichever replica generated it.
 * Immutable.
 *
 * @param id the answer's identifier, as a JSON string
 * @param model the model that the caller requested, as a JSON string
 */
record AnswerIdentity(Buffer id, Buffer model) {
  static AnswerIdentity of(String id, String model) {
    return new AnswerIdentity(Buffer.buffer(Json.encode(id)), Buffer.buffer(Json.encode(model)));
  }
}
