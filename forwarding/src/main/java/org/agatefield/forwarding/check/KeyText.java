package org.agatefield.forwarding.check;

import java.util.Collection;
import java.util.stream.Collectors;
import org.agatefield.forwarding.KeyDigest;

/** Writes keys as the beginnings of their digests. Stateless. */
final class KeyText {
  private static final int SHOWN_DIGITS = 12;

  private KeyText() {}

  static String of(Collection<KeyDigest> keys) {
    return keys.stream()
        .map(key -> "sha256:" + key.toHex().substring(0, SHOWN_DIGITS))
        .sorted()
        .collect(Collectors.joining(", "));
  }
}
