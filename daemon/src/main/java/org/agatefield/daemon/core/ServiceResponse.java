package org.agatefield.daemon.core;

import io.vertx.core.buffer.Buffer;
import java.util.List;

/**
 * The whole answer of a plain service. Immutable as long as nobody changes {@code body}.
 *
 * @param status the HTTP status
 * @param headers the headers that are passed on to the caller
 * @param body the whole body
 */
public record ServiceResponse(int status, List<Header> headers, Buffer body) {
  /** Copies the list. */
  public ServiceResponse {
    headers = List.copyOf(headers);
  }

  /**
   * One HTTP header. Immutable.
   *
   * @param name the name as the service wrote it
   * @param value the value
   */
  public record Header(String name, String value) {}
}
