package org.agatefield.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.atomic.AtomicLong;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/**
 * Reads request bodies within a limit for each and a limit for all that are held at once.
 *
 * <p>Invariant: the bytes counted as held are those of bodies that were read or are being read and
 * not yet released. Safe for use by any thread.
 */
final class BodyReader {
  private static final long INITIAL_CAPACITY_BYTES = 64 * 1024;

  private final Vertx vertx;
  private final long maximumBodyBytes;
  private final long maximumBufferedBytes;
  private final AtomicLong bufferedBytes = new AtomicLong();

  BodyReader(Vertx vertx, long maximumBodyBytes, long maximumBufferedBytes) {
    this.vertx = vertx;
    this.maximumBodyBytes = maximumBodyBytes;
    this.maximumBufferedBytes = maximumBufferedBytes;
  }

  /** Returns the bytes of all bodies that are held. */
  long bufferedBytes() {
    return bufferedBytes.get();
  }

  /**
   * Reads the body; on success the reader of it calls {@link #release} when it is done with it.
   *
   * <p>Fails with BODY_TOO_LARGE, OVERLOADED, or INVALID_REQUEST if the body ends too early.
   */
  Future<Buffer> read(HttpServerRequest request) {
    long declaredBytes = declaredLength(request);
    if (declaredBytes > maximumBodyBytes) {
      return refuse(request, tooLarge());
    }
    if (bufferedBytes.get() + Math.max(0, declaredBytes) > maximumBufferedBytes) {
      return refuse(request, overloaded());
    }
    if ("100-continue".equalsIgnoreCase(request.getHeader("Expect"))) {
      request.response().writeContinue();
    }
    return new BodyCollector(request, Math.max(0, declaredBytes)).begin();
  }

  /** Gives back the room of a body. */
  void release(long bytes) {
    bufferedBytes.addAndGet(-bytes);
  }

  private static long declaredLength(HttpServerRequest request) {
    String header = request.getHeader("Content-Length");
    if (header == null) {
      return -1;
    }
    try {
      return Long.parseLong(header);
    } catch (NumberFormatException exception) {
      return Long.MAX_VALUE;
    }
  }

  /** Refuses without reading; the connection ends since the body was not taken off it. */
  private Future<Buffer> refuse(HttpServerRequest request, AgatefieldException failure) {
    request.response().putHeader("Connection", "close");
    LingeringClose.begin(vertx, request);
    return Future.failedFuture(failure);
  }

  private AgatefieldException tooLarge() {
    return new AgatefieldException(
        ErrorKind.BODY_TOO_LARGE, "the body exceeds " + maximumBodyBytes + " bytes");
  }

  private AgatefieldException overloaded() {
    return new AgatefieldException(
        ErrorKind.OVERLOADED, "the bodies held exceed " + maximumBufferedBytes + " bytes");
  }

  /** One body that is being read. Confined to the context of its request. */
  private final class BodyCollector {
    private final HttpServerRequest request;
    private final Promise<Buffer> promise = Promise.promise();
    private final Buffer body;
    private long receivedBytes;
    private boolean completed;

    private BodyCollector(HttpServerRequest request, long declaredBytes) {
      this.request = request;
      this.body = Buffer.buffer((int) Math.min(declaredBytes, INITIAL_CAPACITY_BYTES));
    }

    private Future<Buffer> begin() {
      request.handler(this::append);
      request.endHandler(ignored -> finish());
      request.exceptionHandler(ignored -> fail(truncated()));
      return promise.future();
    }

    private void append(Buffer bytes) {
      if (completed) {
        return;
      }
      receivedBytes += bytes.length();
      long buffered = bufferedBytes.addAndGet(bytes.length());
      if (body.length() + (long) bytes.length() > maximumBodyBytes) {
        fail(tooLarge());
      } else if (buffered > maximumBufferedBytes) {
        fail(overloaded());
      } else {
        body.appendBuffer(bytes);
      }
    }

    private void finish() {
      if (!completed) {
        completed = true;
        promise.complete(body);
      }
    }

    private void fail(AgatefieldException failure) {
      if (!completed) {
        completed = true;
        release(receivedBytes);
        request.response().putHeader("Connection", "close");
        LingeringClose.begin(vertx, request);
        promise.fail(failure);
      }
    }

    private AgatefieldException truncated() {
      return new AgatefieldException(
          ErrorKind.INVALID_REQUEST, "the body ended before its announced length");
    }
  }
}
