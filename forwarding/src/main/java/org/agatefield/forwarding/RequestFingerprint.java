package org.agatefield.forwarding;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
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

  /**
   * Returns the fingerprint of a request.
   *
   * @param target the path with the query
   * @param account the name of the client account; empty if callers are not told apart
   */
  public static RequestFingerprint of(
      String method, String target, Optional<String> account, byte[] body) {
    BodyDigest bodyDigest = new BodyDigest();
    bodyDigest.update(body);
    return of(method, target, account, bodyDigest);
  }

  /**
   * Returns the fingerprint of a request whose body was digested while it was read.
   *
   * @param target the path with the query
   * @param account the name of the client account; empty if callers are not told apart
   * @param body the digest of the whole body, which is not used again
   */
  public static RequestFingerprint of(
      String method, String target, Optional<String> account, BodyDigest body) {
    MessageDigest digest = Sha256.create();
    update(digest, method.getBytes(StandardCharsets.UTF_8));
    update(digest, target.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) (account.isPresent() ? 1 : 0));
    update(digest, account.orElse("").getBytes(StandardCharsets.UTF_8));
    digest.update(body.digest.digest());
    return new RequestFingerprint(PREFIX + Sha256.halfOf(digest.digest()));
  }

  /** Returns whether the identifier of a trait is the fingerprint of a request. */
  static boolean isFingerprint(String trait) {
    return trait.startsWith(PREFIX);
  }

  /** Digests a body piece by piece, so that a large one never occupies its thread for long. */
  public static final class BodyDigest {
    private final MessageDigest digest = Sha256.create();

    /** Adds the next bytes of the body. */
    public void update(byte[] bytes) {
      digest.update(bytes);
    }
  }

  /** Adds a field with its length, so that no two sequences of fields give the same bytes. */
  private static void update(MessageDigest digest, byte[] field) {
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, field.length));
    digest.update(field);
  }
}
