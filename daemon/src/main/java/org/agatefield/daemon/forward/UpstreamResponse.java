package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * A runner's answer. Immutable as long as nobody changes its parts.
 *
 * @param status the HTTP status
 * @param headers the headers as they came
 * @param body the whole body; empty for a stream
 */
record UpstreamResponse(int status, MultiMap headers, Buffer body) {}
