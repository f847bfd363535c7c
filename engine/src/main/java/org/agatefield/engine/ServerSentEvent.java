package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;

/**
 * One event of an event stream. Immutable as long as {@code data} is not modified.
 *
 * @param id the {@code id} field; empty if the event has none
 * @param data the {@code data} fields, joined by line feeds
 */
record ServerSentEvent(String id, Buffer data) {}
