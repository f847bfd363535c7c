package org.agatefield.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/** Maps engine responses with a status other than 200 to failures. Stateless. */
final class RefusalReader {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private RefusalReader() {}

  /**
   * Returns the failure for a response status and body.
   *
   * <p>An engine responds with a status from 400 to 499, or 503, only if it did not execute the
   * request.
   */
  static AgatefieldException read(int status, Buffer body) {
    JsonNode error = errorOf(body);
    String message = error.path("message").asText("engine responded with status " + status);
    return switch (status) {
      case 400, 413, 422 ->
          new EngineRefusal(ErrorKind.INVALID_REQUEST, EngineRefusalReason.INVALID, message);
      case 404 -> notLoaded(error.path("code").asText(""), message);
      case 429, 503 ->
          new EngineRefusal(ErrorKind.OVERLOADED, EngineRefusalReason.OVERLOADED, message);
      default -> new AgatefieldException(ErrorKind.UPSTREAM_FAILED, message);
    };
  }

  private static EngineRefusal notLoaded(String code, String message) {
    EngineRefusalReason reason =
        code.equals("adapter_not_loaded")
            ? EngineRefusalReason.ADAPTER_NOT_LOADED
            : EngineRefusalReason.VERSION_NOT_LOADED;
    return new EngineRefusal(ErrorKind.NO_UPSTREAM, reason, message);
  }

  private static JsonNode errorOf(Buffer body) {
    try {
      return MAPPER.readTree(body.getBytes()).path("error");
    } catch (IOException exception) {
      return MAPPER.createObjectNode();
    }
  }
}
