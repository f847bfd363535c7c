package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;

/**
 * A generation to start. Immutable as long as nobody changes {@code body}.
 *
 * @param path {@code /v1/chat/completions} or {@code /v1/completions}
 * @param body the JSON body, with the engine's name of the version or adapter as {@code model}
 * @param attemptIdentifier unique to this attempt; the engine sends it back with each part
 */
public record EngineRequest(String path, Buffer body, String attemptIdentifier) {}
