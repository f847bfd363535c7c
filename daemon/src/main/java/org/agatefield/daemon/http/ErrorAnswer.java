package org.agatefield.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.RetryAdvice;

/**
 * Writes failures as JSON in the format that OpenAI clients expect, with status and code from
 * {@link ErrorKind}. Stateless.
 */
final class ErrorAnswer {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long DEFAULT_RETRY_MILLISECONDS = 1_000;
  private static final long RETRY_JITTER_MILLISECONDS = 500;
  private static final long MILLISECONDS_PER_SECOND = 1_000;

  private ErrorAnswer() {}

  /**
   * Writes the failure unless a response has already begun; the result completes when it is
   * written.
   */
  static Future<Void> send(HttpServerResponse response, AgatefieldException failure) {
    if (response.headWritten() || response.ended() || response.closed()) {
      return Future.succeededFuture();
    }
    Optional<Long> retryAfter = retryAfterMilliseconds(failure);
    response.setStatusCode(failure.kind().httpStatus());
    response.putHeader("content-type", "application/json");
    retryAfter.ifPresent(
        milliseconds -> response.putHeader("Retry-After", wholeSeconds(milliseconds)));
    if (failure.kind() == ErrorKind.SHUTTING_DOWN) {
      response.putHeader("Connection", "close");
    }
    return response.end(body(failure, retryAfter));
  }

  /** Returns the failure as one JSON object. */
  static Buffer body(AgatefieldException failure) {
    return body(failure, retryAfterMilliseconds(failure));
  }

  private static Buffer body(AgatefieldException failure, Optional<Long> retryAfter) {
    ObjectNode answer = MAPPER.createObjectNode();
    answer
        .putObject("error")
        .put("message", failure.getMessage())
        .put("type", type(failure.kind()))
        .put("code", failure.kind().code())
        .putNull("param");
    answer.put("run", failure.runState().name().toLowerCase(Locale.ROOT));
    retryAfter.ifPresentOrElse(
        milliseconds -> answer.put("retry_after_ms", milliseconds),
        () -> answer.putNull("retry_after_ms"));
    return Buffer.buffer(answer.toString());
  }

  private static Optional<Long> retryAfterMilliseconds(AgatefieldException failure) {
    Optional<Long> known = failure.retryAfter().map(Duration::toMillis);
    if (known.isPresent() || failure.kind().retryAdvice() != RetryAdvice.AFTER_DELAY) {
      return known;
    }
    long jitter = ThreadLocalRandom.current().nextLong(RETRY_JITTER_MILLISECONDS);
    return Optional.of(DEFAULT_RETRY_MILLISECONDS + jitter);
  }

  private static String wholeSeconds(long milliseconds) {
    long seconds = (milliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
    return Long.toString(Math.max(1, seconds));
  }

  private static String type(ErrorKind kind) {
    return switch (kind.httpStatus()) {
      case 401 -> "authentication_error";
      case 403 -> "permission_error";
      case 404 -> "not_found_error";
      case 429 -> "rate_limit_error";
      case 400, 409, 413, 422, 431 -> "invalid_request_error";
      default -> "server_error";
    };
  }
}
