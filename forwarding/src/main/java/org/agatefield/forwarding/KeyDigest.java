package org.agatefield.forwarding;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a key, so that no process keeps, logs or sends the key itself.
 *
 * <p>Digests are compared in constant time. Immutable and safe for use by any thread.
 */
public final class KeyDigest {
  private static final HexFormat HEX = HexFormat.of();
  private static final int BYTES = 32;
  // Copied for each key, so that the provider is loaded with the first configuration and not with
  // the first request.
  private static final MessageDigest UNUSED = sha256();

  private final byte[] bytes;

  private KeyDigest(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Returns the digest of a key as a client or the operator wrote it. */
  public static KeyDigest of(String key) {
    try {
      MessageDigest digest = (MessageDigest) UNUSED.clone();
      return new KeyDigest(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (CloneNotSupportedException exception) {
      throw new IllegalStateException("the platform's digests can be copied", exception);
    }
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("every Java platform has SHA-256", exception);
    }
  }

  /**
   * Reads a digest that {@link #toHex()} wrote.
   *
   * @throws IllegalArgumentException if the text is no digest
   */
  public static KeyDigest ofHex(String text) {
    byte[] bytes = HEX.parseHex(text);
    if (bytes.length != BYTES) {
      throw new IllegalArgumentException("a digest has " + BYTES + " bytes, not " + bytes.length);
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
