package org.agatefield.daemon.calls;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.idempotency.Claim;
import org.agatefield.model.HttpStatus;

/**
 * Converts claims to and from the content of stored objects. A response body is base64-encoded,
 * either in the claim itself or in separate part objects. Stateless.
 */
final class ClaimCodec {
  static final String KEEP_UNTIL = "keepUntilMilliseconds";

  private static final String ATTEMPT = "attempt";
  private static final String PARTS = "parts";
  private static final String BODY = "body";

  private ClaimCodec() {}

  /** Returns the content of a claim without an outcome. */
  static ObjectNode encode(Claim<ServiceResponse> claim) {
    return JsonNodeFactory.instance
        .objectNode()
        .put(ATTEMPT, claim.attemptId())
        .put("holder", claim.holder())
        .put("bodyHash", claim.bodyHash())
        .put("claimedAtMilliseconds", claim.claimedAtMilliseconds())
        .put("timeoutMilliseconds", claim.timeoutMilliseconds())
        .put(KEEP_UNTIL, claim.keepUntilMilliseconds());
  }

  /** Returns the content of a claim whose outcome cannot be determined. */
  static ObjectNode encodeLost(Claim<ServiceResponse> claim) {
    ObjectNode content = encode(claim);
    content.putObject("outcome").put("state", "LOST");
    return content;
  }

  /**
   * Returns the content of a claim with a response. The body is left out if it is stored in parts.
   */
  static ObjectNode encodeAnswered(
      Claim<ServiceResponse> claim, ServiceResponse answer, int parts) {
    ObjectNode content = encode(claim);
    ObjectNode outcome = content.putObject("outcome");
    outcome.put("state", "ANSWERED").put("status", answer.status());
    ArrayNode headers = outcome.putArray("headers");
    for (ServiceResponse.Header header : answer.headers()) {
      headers.addArray().add(header.name()).add(header.value());
    }
    if (parts == 0) {
      outcome.put(BODY, answer.body().getBytes());
    } else {
      outcome.put(PARTS, parts);
    }
    return content;
  }

  /** Returns the content of one body part. */
  static ObjectNode encodePart(Claim<ServiceResponse> claim, Buffer part) {
    return JsonNodeFactory.instance
        .objectNode()
        .put(ATTEMPT, claim.attemptId())
        .put(KEEP_UNTIL, claim.keepUntilMilliseconds())
        .put(BODY, part.getBytes());
  }

  /** Returns the identifier of the attempt that wrote a claim. */
  static String attemptOf(JsonNode content) {
    return content.path(ATTEMPT).asText();
  }

  /** Returns the number of parts that hold the response body; 0 if the claim holds it. */
  static int partsOf(JsonNode content) {
    return content.path("outcome").path(PARTS).asInt();
  }

  /** Decodes a body or a body part. */
  static Buffer bodyOf(JsonNode node) {
    try {
      return Buffer.buffer(node.path(BODY).binaryValue());
    } catch (IOException exception) {
      throw new UncheckedIOException("a recorded response body is not valid base64", exception);
    }
  }

  /**
   * Decodes a claim.
   *
   * @param parts the concatenated body parts; empty if the claim holds the body
   */
  static Claim<ServiceResponse> decode(JsonNode content, Optional<Buffer> parts) {
    return new Claim<>(
        content.path(ATTEMPT).asText(),
        content.path("holder").asText(),
        content.path("bodyHash").asText(),
        content.path("claimedAtMilliseconds").asLong(),
        content.path("timeoutMilliseconds").asLong(),
        content.path(KEEP_UNTIL).asLong(),
        decodeOutcome(content.path("outcome"), parts));
  }

  private static Optional<Claim.Outcome<ServiceResponse>> decodeOutcome(
      JsonNode outcome, Optional<Buffer> parts) {
    return switch (outcome.path("state").asText()) {
      case "" -> Optional.empty();
      case "LOST" -> Optional.of(new Claim.Outcome<>(Optional.empty()));
      default -> Optional.of(new Claim.Outcome<>(decodeAnswer(outcome, parts)));
    };
  }

  /** Decodes an answer; empty if an earlier release recorded one whose status is none of HTTP. */
  private static Optional<ServiceResponse> decodeAnswer(JsonNode outcome, Optional<Buffer> parts) {
    int status = outcome.path("status").asInt();
    if (!HttpStatus.isAnswer(status)) {
      return Optional.empty();
    }
    List<ServiceResponse.Header> headers = new ArrayList<>();
    for (JsonNode header : outcome.path("headers")) {
      headers.add(new ServiceResponse.Header(header.path(0).asText(), header.path(1).asText()));
    }
    Buffer body = parts.orElseGet(() -> bodyOf(outcome));
    return Optional.of(new ServiceResponse(status, headers, body));
  }
}
