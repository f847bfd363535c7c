package org.agatefield.placement;

/**
 * How eagerly {@link GainPlacement} moves. Immutable.
 *
 * @param smoothingNanoseconds time constant of the smoothed demand
 * @param minimumGain answers in time each second and gigabyte below which nothing is loaded
 * @param displacementFactor how many times more a replica must gain than the one that it displaces
 */
public record GainSettings(
    double smoothingNanoseconds, double minimumGain, double displacementFactor) {
  private static final double SMOOTHING_NANOSECONDS = 20e9;
  private static final double MINIMUM_GAIN = 0.005;
  private static final double DISPLACEMENT_FACTOR = 3;

  /** Returns the settings of a daemon. */
  public static GainSettings standard() {
    return new GainSettings(SMOOTHING_NANOSECONDS, MINIMUM_GAIN, DISPLACEMENT_FACTOR);
  }
}
