package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Compresses what instances tell each other about the store's objects. Without state. */
final class CompressedJson {
  private static final Logger LOGGER = LogManager.getLogger(CompressedJson.class);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private CompressedJson() {}

  static byte[] compress(JsonNode content) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (OutputStream output = new DeflaterOutputStream(bytes)) {
      MAPPER.writeValue(output, content);
    } catch (IOException exception) {
      throw new IllegalStateException("content could not be written to memory", exception);
    }
    return bytes.toByteArray();
  }

  /** Returns the content; empty if the bytes are none. */
  static Optional<JsonNode> decompress(byte[] bytes) {
    try (InflaterInputStream input = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
      return Optional.of(MAPPER.readTree(input));
    } catch (IOException exception) {
      LOGGER.warn("a peer sent content that is not compressed JSON", exception);
      return Optional.empty();
    }
  }
}
