package org.agatefield.idempotency;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * Decides how long claims are kept and which keys are too old to be run. Immutable.
 *
 * <p>A key that is a UUID of version 7 names the time at which it was made. Invariant, for such a
 * key, as long as the wall clocks of instances differ by at most the clock skew: once its claim may
 * have been swept, every instance refuses the key as expired. For any other key at-most-once holds
 * only within the retention.
 *
 * @param retentionMilliseconds how long a claim is kept at least
 * @param clockSkewMilliseconds how far wall clocks of instances may differ
 */
public record RetentionPolicy(long retentionMilliseconds, long clockSkewMilliseconds) {
  private static final int VERSION_TIME_ORDERED = 7;
  private static final int VARIANT_RFC = 2;
  private static final int TIME_SHIFT_BITS = 16;
  private static final int UUID_LENGTH = 36;
  private static final long LONGEST_KEY_LEAD_MILLISECONDS = 86_400_000;

  /** Returns the time named by a time-ordered key, in milliseconds since 1970. */
  public static OptionalLong timeOf(String key) {
    return parse(key)
        .filter(uuid -> uuid.variant() == VARIANT_RFC && uuid.version() == VERSION_TIME_ORDERED)
        .map(uuid -> OptionalLong.of(uuid.getMostSignificantBits() >>> TIME_SHIFT_BITS))
        .orElseGet(OptionalLong::empty);
  }

  /** Returns the wall-clock time before which a claim made now must not be swept. */
  public long keepUntil(String key, long nowMilliseconds) {
    long latest = nowMilliseconds + LONGEST_KEY_LEAD_MILLISECONDS;
    long named = Math.min(latest, timeOf(key).orElse(nowMilliseconds));
    return Math.max(nowMilliseconds, named) + retentionMilliseconds + 2 * clockSkewMilliseconds;
  }

  /** Returns whether the key may have been run, recorded and swept, and must not be run. */
  public boolean isExpired(String key, long nowMilliseconds) {
    OptionalLong named = timeOf(key);
    return named.isPresent() && named.getAsLong() + retentionMilliseconds < nowMilliseconds;
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
