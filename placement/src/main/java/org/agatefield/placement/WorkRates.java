package org.agatefield.placement;

/**
 * What is known of the time that models and runners take for their work. Confined to the thread of
 * the planner.
 */
public interface WorkRates {
  /** Knows nothing, so that nominal rates apply. */
  WorkRates UNKNOWN =
      new WorkRates() {
        @Override
        public double millisecondsPerToken(String model) {
          return 0;
        }

        @Override
        public double relativeSpeed(String runner) {
          return 1;
        }
      };

  /** Returns the time per prompt token at a runner of speed 1; 0 while it is not known. */
  double millisecondsPerToken(String model);

  /** Returns how many times as fast as one of speed 1 a runner is; 1 while it is not known. */
  double relativeSpeed(String runner);
}
