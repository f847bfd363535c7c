package org.agatefield.daemon.peers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.store.BoundedJson;
import org.agatefield.store.ContentLimits;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Serializes the JSON documents that instances exchange, gzip-compressed unless they are small.
 *
 * <p>Invariant: reading a document expands to no more than the maximum document size, nesting and
 * memory. Safe for use by any thread.
 */
public final class CompressedJson {
  private static final Logger LOGGER = LogManager.getLogger(CompressedJson.class);
  private static final int MAXIMUM_BYTES = 4_194_304;
  // Compressing fewer bytes saves too little to be worth its set-up time.
  private static final int MAXIMUM_UNCOMPRESSED_BYTES = 1_024;
  // Trees are written and copied recursively on small stacks. Stored contents, which are less
  // nested, are sent within other documents.
  private static final int MAXIMUM_NESTING = 100;
  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(MAXIMUM_NESTING).build())
          .disable(JsonFactory.Feature.INTERN_FIELD_NAMES) // Peers pass on names of others.
          .build();
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private CompressedJson() {}

  /** Serializes and compresses a JSON tree. */
  public static byte[] compress(JsonNode content) {
    return compress(MAPPER, content);
  }

  static byte[] compress(ObjectMapper mapper, Object value) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      byte[] json = mapper.writeValueAsBytes(value);
      if (json.length <= MAXIMUM_UNCOMPRESSED_BYTES) {
        return json;
      }
      try (GZIPOutputStream compressed = new GZIPOutputStream(bytes)) {
        compressed.write(json);
      }
    } catch (IOException exception) {
      throw new AgatefieldException(
          ErrorKind.INTERNAL, "the document could not be serialized", exception);
    }
    return bytes.toByteArray();
  }

  /**
   * Returns the JSON tree; logs a warning and returns empty if the bytes contain none, or one that
   * exceeds the limits.
   */
  public static Optional<JsonNode> decompress(byte[] bytes, ContentLimits limits) {
    try (JsonParser parser = FACTORY.createParser(decompressIfNeeded(bytes))) {
      JsonNode content = BoundedJson.readContent(parser, limits);
      if (!content.isNull()) {
        return Optional.of(content);
      }
      LOGGER.warn("received JSON content from a peer that is null or too large");
      return Optional.empty();
    } catch (IOException | AgatefieldException exception) {
      LOGGER.warn("received invalid JSON content from a peer: {}", exception.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Returns the JSON text, decompressed if necessary.
   *
   * @throws AgatefieldException if the text exceeds the maximum document size
   * @throws IOException if the compressed bytes are malformed
   */
  static byte[] decompressIfNeeded(byte[] bytes) throws IOException {
    if (!isCompressed(bytes)) {
      return bytes;
    }
    try (GZIPInputStream compressed = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      byte[] json = compressed.readNBytes(MAXIMUM_BYTES + 1);
      if (json.length > MAXIMUM_BYTES) {
        throw new AgatefieldException(
            ErrorKind.INTERNAL, "the document of a peer exceeds " + MAXIMUM_BYTES + " bytes");
      }
      return json;
    }
  }

  private static boolean isCompressed(byte[] bytes) {
    return bytes.length >= 2
        && (bytes[0] & 0xff | (bytes[1] & 0xff) << 8) == GZIPInputStream.GZIP_MAGIC;
  }
}
