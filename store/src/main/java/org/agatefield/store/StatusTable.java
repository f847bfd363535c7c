package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.Set;

/**
 * The table from the store's HTTP answers to failures.
 *
 * <p>Invariant: a write is only said to have had no effect where the answer proves it. A 503 proves
 * it only with a reason of the API itself; one from something in between may hide an effect.
 * Stateless and safe for use by any thread.
 */
final class StatusTable {
  private static final int FIRST_FAILURE_STATUS = 300;
  private static final Set<String> REASONS_WITHOUT_EFFECT =
      Set.of("ServiceUnavailable", "TooManyRequests");

  private StatusTable() {}

  /** Does nothing if the call succeeded. */
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

  /** Returns why a call with that answer failed. */
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
