package org.agatefield.forwarding;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Identifies requests that are the same to a runner: those with equal method, target, client
 * account and body, whatever their identifiers and prompts. A digest, so that logs, peers and the
 * store hold neither targets nor bodies. Immutable.
 *
 * @param value equal for equal requests on all instances; differs from the identifiers of prompt
 *     parts
 */
public record RequestFingerprint(String value) {
  private static final String PREFIX = "request-";
  // Half of a SHA-256 digest.
  private static final int BYTES = 16;

  /**
   * Returns the fingerprint of a request.
   *
   * @param target the path with the query
   * @param account the name of the client account; empty if callers are not told apart
   */
  public static RequestFingerprint of(
      String method, String target, Optional<String> account, byte[] body) {
    MessageDigest digest = Sha256.create();
    update(digest, method.getBytes(StandardCharsets.UTF_8));
    update(digest, target.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) (account.isPresent() ? 1 : 0));
    update(digest, account.orElse("").getBytes(StandardCharsets.UTF_8));
    update(digest, body);
    byte[] half = Arrays.copyOf(digest.digest(), BYTES);
    return new RequestFingerprint(PREFIX + HexFormat.of().formatHex(half));
  }

  /** Adds a field with its length, so that no two sequences of fields give the same bytes. */
  private static void update(MessageDigest digest, byte[] field) {
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, field.length));
    digest.update(field);
  }
}
