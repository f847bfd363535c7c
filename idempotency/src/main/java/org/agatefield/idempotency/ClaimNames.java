package org.agatefield.idempotency;

import org.apache.commons.codec.digest.DigestUtils;

/** Derives the names of claims in the store. Stateless and thread-safe. */
public final class ClaimNames {
  private ClaimNames() {}

  /**
   * Returns the name of a key's claim, 64 hexadecimal digits that also depend on the caller and the
   * service.
   */
  public static String nameOf(String caller, String service, String key) {
    String identity = caller.length() + ":" + caller + service.length() + ":" + service + key;
    return DigestUtils.sha256Hex(identity);
  }
}
