package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;

/**
 * A generation to start. Immutable as long as nobody changes {@code body}.
 *
 * @param path {@code /v1/chat/completions} or {@code /v1/completions}
 * @param body the JSON body, with the engine's name of the version or adapter as {@code model}
 * @param attemptIdentifier unique to this attempt; the engine sends it back with each part
 * @param firstToken number of tokens that earlier attempts delivered and this one leaves out, as
 *     {@code continue_from_token} in the body says too; 0 for a first attempt
 */
public record EngineRequest(String path, Buffer body, String attemptIdentifier, int firstToken) {
  /** Creates the first attempt of a request. */
  public EngineRequest(String path, Buffer body, String attemptIdentifier) {
    this(path, body, attemptIdentifier, 0);
  }
}
