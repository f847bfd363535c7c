package org.agatefield.idempotency;

import org.apache.commons.codec.digest.DigestUtils;

/** Derives the names of claims. Stateless and safe for use by any thread. */
public final class ClaimNames {
  private ClaimNames() {}

  /**
   * Returns the name of the claim of a key, 64 hexadecimal digits; different for different callers
   * and services.
   */
  public static String nameOf(String caller, String service, String key) {
    String identity = caller.length() + ":" + caller + service.length() + ":" + service + key;
    return DigestUtils.sha256Hex(identity);
  }
}
