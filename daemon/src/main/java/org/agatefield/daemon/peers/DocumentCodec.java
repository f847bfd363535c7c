package org.agatefield.daemon.peers;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.ErrorKind;

/**
 * Writes configuration documents as compressed JSON and reads them.
 *
 * <p>Invariant: reading takes no more memory than a document of the largest size. Safe for use by
 * any thread.
 */
final class DocumentCodec {
  private static final int MAXIMUM_BYTES = 4_194_304;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private DocumentCodec() {}

  static byte[] encode(ConfigurationDocument document) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream compressed = new GZIPOutputStream(bytes)) {
      MAPPER.writeValue(compressed, document);
    } catch (IOException exception) {
      throw new AgatefieldException(
          ErrorKind.INTERNAL, "the configuration cannot be written", exception);
    }
    return bytes.toByteArray();
  }

  static ConfigurationDocument decode(byte[] bytes) {
    try (GZIPInputStream compressed = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      byte[] json = compressed.readNBytes(MAXIMUM_BYTES + 1);
      if (json.length > MAXIMUM_BYTES) {
        throw new AgatefieldException(
            ErrorKind.INTERNAL, "the configuration of a peer exceeds " + MAXIMUM_BYTES + " bytes");
      }
      return MAPPER.readValue(json, ConfigurationDocument.class);
    } catch (IOException exception) {
      throw new AgatefieldException(
          ErrorKind.INTERNAL, "the configuration of a peer cannot be read", exception);
    }
  }
}
