package org.agatefield.forwarding;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Creates SHA-256 digests. Thread safe. */
final class Sha256 {
  // Cloned for each digest, so that the security provider is loaded at the start and not during the
  // first request.
  private static final MessageDigest PROTOTYPE = prototype();

  private Sha256() {}

  /** Returns a digest without content. */
  static MessageDigest create() {
    try {
      return (MessageDigest) PROTOTYPE.clone();
    } catch (CloneNotSupportedException exception) {
      throw new IllegalStateException("SHA-256 implementation cannot be cloned", exception);
    }
  }

  /** Returns the first half of a digest in hexadecimal. */
  static String half(byte[] content) {
    return halfOf(create().digest(content));
  }

  /** Returns the first half of what was digested in hexadecimal. */
  static String halfOf(byte[] digest) {
    return HexFormat.of().formatHex(digest, 0, digest.length / 2);
  }

  private static MessageDigest prototype() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("SHA-256 is not available on this Java platform", exception);
    }
  }
}
