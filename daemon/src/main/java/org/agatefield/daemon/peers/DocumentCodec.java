package org.agatefield.daemon.peers;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.ErrorKind;

/**
 * Encodes configuration documents as compressed JSON and decodes them.
 *
 * <p>Decoding ignores unknown fields, which a newer version may have added. Safe for use by any
 * thread.
 */
final class DocumentCodec {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private DocumentCodec() {}

  static byte[] encode(ConfigurationDocument document) {
    return CompressedJson.compress(MAPPER, document);
  }

  static ConfigurationDocument decode(byte[] bytes) {
    try {
      return MAPPER.readValue(
          CompressedJson.decompressIfNeeded(bytes), ConfigurationDocument.class);
    } catch (IOException exception) {
      throw new AgatefieldException(
          ErrorKind.INTERNAL,
          "the configuration received from a peer cannot be decoded",
          exception);
    }
  }
}
