package org.agatefield.daemon.configuration;

/**
 * Numbers the accepted documents so that one accepted after the store came back older has a higher
 * generation than each that the store may have lost.
 *
 * <p>Invariant: the generations of an era are above those of all earlier eras; those of the first
 * era, and of a store that names none, begin at one. Stateless.
 */
final class EraGenerations {
  private static final long FIRST_ERA = 1;
  private static final long GENERATIONS_PER_ERA = 1_000_000_000;

  private EraGenerations() {}

  /** Returns the generation of a document that is accepted in an era over one of a generation. */
  static long successor(long generation, long era) {
    return Math.max(generation, lastBefore(era)) + 1;
  }

  /** Returns whether a generation may have been lost by the time an era began. */
  static boolean precedes(long generation, long era) {
    return generation <= lastBefore(era);
  }

  private static long lastBefore(long era) {
    return Math.max(0, era - FIRST_ERA) * GENERATIONS_PER_ERA;
  }
}
