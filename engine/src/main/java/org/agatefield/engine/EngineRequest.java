package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;

/**
 * A request for a generation. Immutable as long as {@code body} is not modified.
 *
 * @param path {@code /v1/chat/completions} or {@code /v1/completions}
 * @param body the JSON body, with the engine's name of the version or adapter as {@code model}
 * @param attemptIdentifier unique to this attempt; the engine returns it with each part
 * @param firstToken number of tokens that earlier attempts delivered and this one skips, equal to
 *     {@code continue_from_token} in the body; 0 for a first attempt
 */
public record EngineRequest(String path, Buffer body, String attemptIdentifier, int firstToken) {
  /** Creates the first attempt of a request. */
  public EngineRequest(String path, Buffer body, String attemptIdentifier) {
    this(path, body, attemptIdentifier, 0);
  }
}
