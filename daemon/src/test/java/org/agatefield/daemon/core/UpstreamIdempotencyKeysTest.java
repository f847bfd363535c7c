package org.agatefield.daemon.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class UpstreamIdempotencyKeysTest {
  @Property(tries = 1000, seed = "42")
  void equalKeysOfTwoCallersAreDifferentForTheService(
      @ForAll @CharRange(from = 'a', to = 'c') @StringLength(min = 1, max = 3) String first,
      @ForAll @CharRange(from = 'a', to = 'c') @StringLength(min = 1, max = 3) String second,
      @ForAll @CharRange(from = ':', to = ';') @StringLength(min = 1, max = 4) String key,
      @ForAll @CharRange(from = ':', to = ';') @StringLength(min = 1, max = 4) String otherKey) {
    if (!first.equals(second)) {
      assertNotEquals(
          UpstreamIdempotencyKeys.of(first, key), UpstreamIdempotencyKeys.of(second, otherKey));
    }
  }

  @Test
  void keyIsUnchangedWithoutConfiguredCallers() {
    assertEquals("visit-12", UpstreamIdempotencyKeys.of("anonymous", "visit-12"));
  }
}
