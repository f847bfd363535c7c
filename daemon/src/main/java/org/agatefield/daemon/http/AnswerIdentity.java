package org.agatefield.daemon.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.Json;

/**
 * The names that stand in every part of an answer, whichever replica wrote it. Immutable.
 *
 * @param id the answer's identifier as a JSON string
 * @param model the model that the caller asked for as a JSON string
 */
record AnswerIdentity(Buffer id, Buffer model) {
  static AnswerIdentity of(String id, String model) {
    return new AnswerIdentity(Buffer.buffer(Json.encode(id)), Buffer.buffer(Json.encode(model)));
  }
}
