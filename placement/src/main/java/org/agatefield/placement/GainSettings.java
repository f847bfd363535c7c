package org.agatefield.placement;

/**
 * Settings of {@link GainPlacement}. Immutable.
 *
 * @param smoothingNanoseconds time constant of the smoothed demand
 * @param minimumGain timely answers per second and gigabyte below which no replica is added
 * @param displacementFactor factor by which a replica's gain must exceed that of the one it
 *     displaces
 */
public record GainSettings(
    double smoothingNanoseconds, double minimumGain, double displacementFactor) {
  private static final double SMOOTHING_NANOSECONDS = 20e9;
  private static final double MINIMUM_GAIN = 0.005;
  private static final double DISPLACEMENT_FACTOR = 3;

  /** Returns the settings that a daemon uses. */
  public static GainSettings standard() {
    return new GainSettings(SMOOTHING_NANOSECONDS, MINIMUM_GAIN, DISPLACEMENT_FACTOR);
  }
}
