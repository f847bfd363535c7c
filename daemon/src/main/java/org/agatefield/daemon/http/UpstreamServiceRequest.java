package org.agatefield.daemon.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Map;

/**
 * A call as it goes to a service's runner. Immutable as long as nobody changes {@code body}.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the headers that are passed on
 * @param body the whole body
 * @param timeout how long the runner may send nothing
 */
record UpstreamServiceRequest(
    HttpMethod method, String path, Map<String, String> headers, Buffer body, Duration timeout) {
  /** Copies the map. */
  UpstreamServiceRequest {
    headers = Map.copyOf(headers);
  }
}
