package org.agatefield.daemon.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Map;

/**
 * An HTTP request to a runner of a plain service. Immutable provided that {@code body} is not
 * modified.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the headers to send
 * @param body the complete body
 * @param timeout how long the connection may be idle before the call fails
 */
record UpstreamServiceRequest(
    HttpMethod method, String path, Map<String, String> headers, Buffer body, Duration timeout) {
  /** Copies the map. */
  UpstreamServiceRequest {
    headers = Map.copyOf(headers);
  }
}
