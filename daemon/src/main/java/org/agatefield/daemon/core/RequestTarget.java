package org.agatefield.daemon.core;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Converts targets of requests, path and query, so that upstreams receive the bytes of the caller.
 *
 * <p>The HTTP library reads each byte of a target as a character, but writes characters as UTF-8.
 * Stateless.
 */
public final class RequestTarget {
  private static final Logger LOGGER = LogManager.getLogger(RequestTarget.class);
  private static final int FIRST_BEYOND_ASCII = 0x80;

  private RequestTarget() {}

  /**
   * Returns the text that is written as the bytes that were read; empty if no text is, as the bytes
   * are not UTF-8.
   *
   * @param received a target as the HTTP library has read it
   */
  public static Optional<String> forwardable(String received) {
    if (isAscii(received)) {
      return Optional.of(received);
    }
    try {
      ByteBuffer bytes = StandardCharsets.ISO_8859_1.newEncoder().encode(CharBuffer.wrap(received));
      return Optional.of(StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
    } catch (CharacterCodingException exception) {
      LOGGER.debug("target is not UTF-8", exception);
      return Optional.empty();
    }
  }

  private static boolean isAscii(String text) {
    for (int index = 0; index < text.length(); index++) {
      if (text.charAt(index) >= FIRST_BEYOND_ASCII) {
        return false;
      }
    }
    return true;
  }
}
