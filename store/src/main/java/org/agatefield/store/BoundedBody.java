package org.agatefield.store;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.io.IOException;

/**
 * Reads a response body up to a size limit, since a faulty server may send endless data.
 *
 * <p>Stateless.
 */
public final class BoundedBody {
  private BoundedBody() {}

  /** Thrown if a body exceeds its limit. */
  static final class TooLargeException extends IOException {
    private static final long serialVersionUID = 1;

    TooLargeException(int maximumBytes) {
      super("response body exceeds " + maximumBytes + " bytes");
    }
  }

  /**
   * Reads the whole body.
   *
   * @param maximumBytes the request is reset when the body exceeds this size
   * @return the body; fails if the body is too large or incomplete
   */
  public static Future<Buffer> read(HttpClientResponse response, int maximumBytes) {
    Promise<Buffer> result = Promise.promise();
    Buffer body = Buffer.buffer();
    response.exceptionHandler(result::tryFail);
    response.endHandler(ignored -> result.tryComplete(body));
    response.handler(
        bytes -> {
          if (result.future().isComplete()) {
            return;
          }
          if (body.length() + bytes.length() > maximumBytes) {
            result.tryFail(new TooLargeException(maximumBytes));
            response.request().reset();
            return;
          }
          body.appendBuffer(bytes);
        });
    return result.future();
  }
}
