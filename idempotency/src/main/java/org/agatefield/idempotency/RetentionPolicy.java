package org.agatefield.idempotency;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * Decides how long claims are retained and which keys are expired. Immutable.
 *
 * <p>A key that is a version 7 UUID contains its creation time. Invariant for such keys, as long as
 * the wall clocks of instances differ by at most the clock skew: once its claim may have been
 * deleted, every instance refuses the key as expired. For other keys, at-most-once execution is
 * guaranteed only within the retention.
 *
 * @param retentionMilliseconds minimum time for which a claim is retained
 * @param clockSkewMilliseconds maximum difference between the wall clocks of instances
 */
public record RetentionPolicy(long retentionMilliseconds, long clockSkewMilliseconds) {
  private static final int VERSION_TIME_ORDERED = 7;
  private static final int VARIANT_RFC = 2;
  private static final int TIME_SHIFT_BITS = 16;
  private static final int UUID_LENGTH = 36;
  private static final long MAXIMUM_KEY_LEAD_MILLISECONDS = 86_400_000;

  /** Returns the creation time in a version 7 UUID, in milliseconds since 1970. */
  public static OptionalLong timeOf(String key) {
    return parse(key)
        .filter(uuid -> uuid.variant() == VARIANT_RFC && uuid.version() == VERSION_TIME_ORDERED)
        .map(uuid -> OptionalLong.of(uuid.getMostSignificantBits() >>> TIME_SHIFT_BITS))
        .orElseGet(OptionalLong::empty);
  }

  /** Returns the wall-clock time before which a claim created now must not be deleted. */
  public long keepUntil(String key, long nowMilliseconds) {
    long latest = nowMilliseconds + MAXIMUM_KEY_LEAD_MILLISECONDS;
    long created = Math.min(latest, timeOf(key).orElse(nowMilliseconds));
    return Math.max(nowMilliseconds, created) + retentionMilliseconds + 2 * clockSkewMilliseconds;
  }

  /**
   * Returns whether the claim of an executed call may have been deleted, so the key must not run.
   */
  public boolean isExpired(String key, long nowMilliseconds) {
    OptionalLong created = timeOf(key);
    return created.isPresent() && created.getAsLong() + retentionMilliseconds < nowMilliseconds;
  }

  /**
   * Returns whether a call with the key may have been claimed before an era of the store began, so
   * that an absent claim proves nothing. A key without a time, or with one that is in the future,
   * may, until the retention of all such claims has ended.
   *
   * @param eraBeganMilliseconds wall-clock time at or after which the era began
   */
  public boolean mayPrecede(String key, long eraBeganMilliseconds, long nowMilliseconds) {
    OptionalLong created = timeOf(key);
    boolean timed =
        created.isPresent() && created.getAsLong() <= nowMilliseconds + clockSkewMilliseconds;
    return timed
        ? created.getAsLong() <= eraBeganMilliseconds + clockSkewMilliseconds
        : nowMilliseconds <= keepUntil(key, eraBeganMilliseconds);
  }

  /** Returns whether a claim may be deleted. */
  public boolean maySweep(long keepUntilMilliseconds, long nowMilliseconds) {
    return nowMilliseconds > keepUntilMilliseconds;
  }

  private static Optional<UUID> parse(String key) {
    if (key.length() != UUID_LENGTH) {
      return Optional.empty();
    }
    try {
      return Optional.of(UUID.fromString(key));
    } catch (IllegalArgumentException exception) {
      return Optional.empty();
    }
  }
}
