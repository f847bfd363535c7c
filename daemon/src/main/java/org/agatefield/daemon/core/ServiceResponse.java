package org.agatefield.daemon.core;

import io.vertx.core.buffer.Buffer;
import java.util.List;

/**
 * The complete response of a plain service. Immutable, provided that {@code body} is not modified.
 *
 * @param status the HTTP status
 * @param headers the headers returned to the caller
 * @param body the complete body
 */
public record ServiceResponse(int status, List<Header> headers, Buffer body) {
  /** Copies the list. */
  public ServiceResponse {
    headers = List.copyOf(headers);
  }

  /**
   * One HTTP header. Immutable.
   *
   * @param name the name as sent by the service
   * @param value the value
   */
  public record Header(String name, String value) {}
}
