package org.agatefield.store;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * Reads an answer's body up to a bound, since a server in trouble may send without end.
 *
 * <p>Stateless.
 */
public final class BoundedBody {
  private BoundedBody() {}

  /**
   * Reads the whole body.
   *
   * @param maximumBytes the connection is reset once more than this came
   * @return the body; fails if it is larger, or breaks off
   */
  public static Future<Buffer> read(HttpClientResponse response, int maximumBytes) {
    Promise<Buffer> whole = Promise.promise();
    Buffer body = Buffer.buffer();
    response.exceptionHandler(whole::tryFail);
    response.endHandler(ended -> whole.tryComplete(body));
    response.handler(
        bytes -> {
          if (whole.future().isComplete()) {
            return;
          }
          if (body.length() + bytes.length() > maximumBytes) {
            whole.tryFail("the answer is larger than " + maximumBytes + " bytes");
            response.request().reset();
            return;
          }
          body.appendBuffer(bytes);
        });
    return whole.future();
  }
}
