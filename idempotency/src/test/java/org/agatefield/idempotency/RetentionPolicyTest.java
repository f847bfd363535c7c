package org.agatefield.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class RetentionPolicyTest {
  private static final long HOUR = 3_600_000;
  private static final long SKEW = 60_000;
  private static final long NOW = 1_800_000_000_000L;
  private static final RetentionPolicy POLICY = new RetentionPolicy(HOUR, SKEW);

  private static String keyCreatedAt(long milliseconds) {
    String digits = String.format("%012x", milliseconds);
    return digits.substring(0, 8) + "-" + digits.substring(8) + "-7abc-8def-0123456789ab";
  }

  @Property(tries = 20_000, seed = "42")
  void timeOrderedKeyWithDeletedClaimIsRefusedByEveryInstance(
      @ForAll @LongRange(min = -2 * HOUR, max = 2 * HOUR) long keyLead,
      @ForAll @LongRange(min = -SKEW / 2, max = SKEW / 2) long claimerSkew,
      @ForAll @LongRange(min = -SKEW / 2, max = SKEW / 2) long sweeperSkew,
      @ForAll @LongRange(min = -SKEW / 2, max = SKEW / 2) long retrySkew,
      @ForAll @LongRange(min = 0, max = 10 * HOUR) long later) {
    String key = keyCreatedAt(NOW + keyLead);
    long keepUntil = POLICY.keepUntil(key, NOW + claimerSkew);
    boolean swept = POLICY.maySweep(keepUntil, NOW + later + sweeperSkew);
    boolean refused = POLICY.isExpired(key, NOW + later + retrySkew);
    assertTrue(!swept || refused);
  }

  @Test
  void keyInUseIsNotExpired() {
    assertFalse(POLICY.isExpired(keyCreatedAt(NOW), NOW + HOUR));
    assertTrue(POLICY.isExpired(keyCreatedAt(NOW), NOW + HOUR + 1));
  }

  @Test
  void keyWithoutTimeNeverExpires() {
    assertFalse(POLICY.isExpired("order 17", NOW));
    assertEquals(OptionalLong.empty(), RetentionPolicy.timeOf("order 17"));
    assertEquals(
        OptionalLong.empty(), RetentionPolicy.timeOf("f47ac10b-58cc-4372-a567-0e02b2c3d479"));
  }

  @Test
  void timeOrderedKeyContainsItsCreationTime() {
    assertEquals(OptionalLong.of(NOW), RetentionPolicy.timeOf(keyCreatedAt(NOW)));
  }

  @Property(tries = 20_000, seed = "42")
  void timeOrderedKeyThatWasUsedBeforeAnEraIsRecognized(
      @ForAll @LongRange(min = -SKEW / 2, max = SKEW / 2) long callerSkew,
      @ForAll @LongRange(min = -SKEW / 2, max = SKEW / 2) long eraSkew,
      @ForAll @LongRange(min = 0, max = HOUR) long later) {
    String key = keyCreatedAt(NOW + callerSkew);
    assertTrue(POLICY.mayPrecede(key, NOW + eraSkew, NOW + later));
  }

  @Test
  void keyMayPrecedeAnEraUnlessItsTimeProvesTheOpposite() {
    assertFalse(POLICY.mayPrecede(keyCreatedAt(NOW + SKEW + 1), NOW, NOW + SKEW + 1));
    assertTrue(POLICY.mayPrecede(keyCreatedAt(NOW + 2 * HOUR), NOW, NOW + HOUR / 2));
    assertTrue(POLICY.mayPrecede("order 17", NOW, NOW + HOUR));
    assertFalse(POLICY.mayPrecede("order 17", NOW, NOW + HOUR + 2 * SKEW + 1));
  }

  @Test
  void claimNamesDependOnCallerServiceAndKey() {
    String name = ClaimNames.nameOf("a", "bc", "d");
    assertFalse(name.equals(ClaimNames.nameOf("ab", "c", "d")));
    assertFalse(name.equals(ClaimNames.nameOf("a", "b", "cd")));
    assertEquals(64, name.length());
  }
}
