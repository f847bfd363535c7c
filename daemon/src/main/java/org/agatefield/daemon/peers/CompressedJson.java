package org.agatefield.daemon.peers;

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
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes the documents that instances send each other, compressed unless they are small, and reads
 * them.
 *
 * <p>Invariant: reading takes no more memory than a document of the largest size. Safe for use by
 * any thread.
 */
public final class CompressedJson {
  private static final Logger LOGGER = LogManager.getLogger(CompressedJson.class);
  private static final int MAXIMUM_BYTES = 4_194_304;
  // Preparing a compression takes more time than so few bytes are worth.
  private static final int LARGEST_PLAIN_BYTES = 1_024;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private CompressedJson() {}

  /** Compresses a tree. */
  public static byte[] compress(JsonNode content) {
    return compress(MAPPER, content);
  }

  static byte[] compress(ObjectMapper mapper, Object value) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      byte[] json = mapper.writeValueAsBytes(value);
      if (json.length <= LARGEST_PLAIN_BYTES) {
        return json;
      }
      try (GZIPOutputStream compressed = new GZIPOutputStream(bytes)) {
        compressed.write(json);
      }
    } catch (IOException exception) {
      throw new AgatefieldException(
          ErrorKind.INTERNAL, "the document was not written to memory", exception);
    }
    return bytes.toByteArray();
  }

  /** Returns the tree; empty, with a line in the log, if the bytes hold none. */
  public static Optional<JsonNode> decompress(byte[] bytes) {
    try {
      return Optional.of(MAPPER.readTree(expand(bytes)));
    } catch (IOException | AgatefieldException exception) {
      LOGGER.warn("a peer sent content that is not compressed JSON", exception);
      return Optional.empty();
    }
  }

  /**
   * Returns the JSON text.
   *
   * @throws AgatefieldException if it is larger than a document may be
   * @throws IOException if the bytes are not compressed text
   */
  static byte[] expand(byte[] bytes) throws IOException {
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
