package org.agatefield.daemon.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.Caller;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Priority;

/**
 * The caller, priority and deadline of a request. Immutable.
 *
 * @param requestId unique identifier of this request
 * @param caller the caller that sent the request
 * @param priority the requested priority, limited by that of the caller
 * @param deadlineNanoseconds when the caller stops waiting, in nanoseconds of the monotonic clock
 */
record RequestAttributes(
    String requestId, Caller caller, Priority priority, long deadlineNanoseconds) {
  private static final String DEADLINE_HEADER = "X-Request-Deadline-Ms";
  private static final String PRIORITY_HEADER = "X-Request-Priority";
  private static final long MAXIMUM_DEADLINE_MILLISECONDS = 24L * 60 * 60 * 1000;

  /**
   * Reads the attributes from the headers of a request.
   *
   * @throws AgatefieldException of kind INVALID_REQUEST if a header is malformed
   */
  static RequestAttributes read(
      HttpServerRequest request, String requestId, Caller caller, Duration defaultDeadline) {
    long remaining = deadline(request.getHeader(DEADLINE_HEADER), defaultDeadline.toMillis());
    Priority priority = priority(request.getHeader(PRIORITY_HEADER));
    long deadline = System.nanoTime() + Duration.ofMillis(remaining).toNanos();
    return new RequestAttributes(requestId, caller, lower(priority, caller.priority()), deadline);
  }

  /** Returns the lower of two priorities. */
  static Priority lower(Priority one, Priority other) {
    return one.compareTo(other) <= 0 ? one : other;
  }

  /** Returns what identifies equal requests of this caller. */
  RequestFingerprint fingerprint(String method, String target, Buffer body) {
    return RequestFingerprint.of(method, target, Optional.of(caller.name()), body.getBytes());
  }

  /** Returns the time until the deadline, from now; zero if it has passed. */
  Duration remaining() {
    return Duration.ofNanos(Math.max(0, deadlineNanoseconds - System.nanoTime()));
  }

  private static long deadline(String header, long defaultMilliseconds) {
    if (header == null) {
      return defaultMilliseconds;
    }
    try {
      long milliseconds = Long.parseLong(header.trim());
      if (milliseconds >= 0) {
        return Math.min(milliseconds, MAXIMUM_DEADLINE_MILLISECONDS);
      }
    } catch (NumberFormatException exception) {
      // Rejected below, like a negative number.
    }
    throw new AgatefieldException(
        ErrorKind.INVALID_REQUEST,
        DEADLINE_HEADER + ": '" + header + "' is not a number of milliseconds, 0 or more");
  }

  private static Priority priority(String header) {
    if (header == null) {
      return Priority.STANDARD;
    }
    try {
      return Priority.valueOf(header.trim().toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException exception) {
      throw new AgatefieldException(
          ErrorKind.INVALID_REQUEST,
          PRIORITY_HEADER + ": '" + header + "' is not one of batch, standard, interactive",
          exception);
    }
  }
}
