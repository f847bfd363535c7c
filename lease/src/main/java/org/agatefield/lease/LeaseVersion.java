package org.agatefield.lease;

/**
 * The version of a lease in the store, unique for ever. Immutable.
 *
 * @param text only compared for equality
 * @param era rises each time the store comes back from an older copy; 0 for a store that never does
 * @param sequence rises with each write of the lease within an era; 0 if unknown
 */
public record LeaseVersion(String text, long era, long sequence) {
  private static final int TOKEN_BITS_PER_ERA = 32;
  private static final long MAXIMUM_SEQUENCE = (1L << TOKEN_BITS_PER_ERA) - 1;

  /** Returns the version of a lease in a store that never comes back older. */
  public static LeaseVersion of(String text) {
    return new LeaseVersion(text, 0, 0);
  }

  /** Returns the fencing token below which no lease was granted in this era. */
  long firstToken() {
    return era << TOKEN_BITS_PER_ERA;
  }

  /**
   * Returns the smallest token for a grant that replaces this version. It is larger than that of
   * every other grant of this era so far, even of one that a write of an earlier era has hidden.
   */
  long minimumToken() {
    return firstToken() + Math.min(sequence, MAXIMUM_SEQUENCE);
  }
}
