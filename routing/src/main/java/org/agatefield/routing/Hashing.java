package org.agatefield.routing;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** Stable hashes, the same on every instance. Immutable. */
final class Hashing {
  private static final double TWO_TO_53 = 0x1.0p53;

  private Hashing() {}

  static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  /** Returns a number above 0 and below 1 that is spread evenly over hashes. */
  static double unitInterval(long hash) {
    return ((hash >>> 11) + 0.5) / TWO_TO_53;
  }
}
