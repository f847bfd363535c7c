package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * A response of a runner. Immutable as long as its headers and body are not modified.
 *
 * @param status the HTTP status
 * @param headers the headers as received
 * @param body the complete body; empty for a stream
 */
record UpstreamResponse(int status, MultiMap headers, Buffer body) {}
