package org.agatefield.forwarding;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a key, so that no process stores, logs or sends the key itself.
 *
 * <p>Digests are compared in constant time. Immutable and thread safe.
 */
public final class KeyDigest {
  private static final HexFormat HEX = HexFormat.of();
  private static final int BYTES = 32;

  private final byte[] bytes;

  private KeyDigest(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Returns the digest of a key as a client or the operator wrote it. */
  public static KeyDigest of(String key) {
    return new KeyDigest(Sha256.create().digest(key.getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Parses a digest written by {@link #toHex()}.
   *
   * @throws IllegalArgumentException if the text is not a digest
   */
  public static KeyDigest ofHex(String text) {
    byte[] bytes = HEX.parseHex(text);
    if (bytes.length != BYTES) {
      throw new IllegalArgumentException(
          "digest must have " + BYTES + " bytes, not " + bytes.length);
    }
    return new KeyDigest(bytes);
  }

  /** Returns the digest as 64 hexadecimal digits. */
  public String toHex() {
    return HEX.formatHex(bytes);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof KeyDigest digest && MessageDigest.isEqual(bytes, digest.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  /** Returns a fixed text, so that digests do not appear in logs. */
  @Override
  public String toString() {
    return "KeyDigest";
  }
}
