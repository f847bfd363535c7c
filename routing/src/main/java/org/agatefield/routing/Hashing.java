package org.agatefield.routing;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** Provides stable hashes that are the same on every instance. Stateless. */
final class Hashing {
  private static final double TWO_TO_53 = 0x1.0p53;

  private Hashing() {}

  static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  /**
   * Maps a hash to a number above 0 and below 1; evenly distributed hashes give evenly distributed
   * numbers.
   */
  static double unitInterval(long hash) {
    return ((hash >>> 11) + 0.5) / TWO_TO_53;
  }
}
