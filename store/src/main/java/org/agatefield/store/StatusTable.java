package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.Set;

/**
 * Maps HTTP responses of the store to failures.
 *
 * <p>Invariant: a write is reported as having had no effect only if the response proves it. A 503
 * proves it only with a reason set by the API itself; a 503 of an intermediary, such as a proxy,
 * may hide a write that took effect. Stateless and safe for use by any thread.
 */
final class StatusTable {
  private static final int FIRST_FAILURE_STATUS = 300;
  private static final Set<String> REASONS_WITHOUT_EFFECT =
      Set.of("ServiceUnavailable", "TooManyRequests");

  private StatusTable() {}

  /** Throws a {@link StoreException} if the call failed. */
  static void requireSuccess(
      boolean write, String subject, HttpCall.Answer answer, StoreDialect dialect) {
    if (answer.status() < FIRST_FAILURE_STATUS) {
      return;
    }
    JsonNode body = ObjectCodec.parse(answer.body()).orElse(MissingNode.getInstance());
    StoreFailure failure = dialect.failureOf(write, answer.status(), body);
    String reason = body.path("reason").asText();
    throw new StoreException(failure, subject + ": status " + answer.status() + " " + reason);
  }

  /** Returns the failure for a response status and reason. */
  static StoreFailure failureOf(boolean write, int status, String reason) {
    return switch (status) {
      case 404 -> StoreFailure.NOT_FOUND;
      case 409 ->
          reason.equals("AlreadyExists") ? StoreFailure.ALREADY_EXISTS : StoreFailure.CONFLICT;
      case 410 -> StoreFailure.VERSION_GONE;
      case 413 -> StoreFailure.TOO_LARGE;
      case 400, 401, 403, 405, 415, 422, 429 -> StoreFailure.UNAVAILABLE;
      case 503 -> unavailable(write, reason);
      default -> write ? StoreFailure.UNKNOWN_RESULT : StoreFailure.UNAVAILABLE;
    };
  }

  private static StoreFailure unavailable(boolean write, String reason) {
    boolean withoutEffect = !write || REASONS_WITHOUT_EFFECT.contains(reason);
    return withoutEffect ? StoreFailure.UNAVAILABLE : StoreFailure.UNKNOWN_RESULT;
  }
}
