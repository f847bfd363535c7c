package org.agatefield.measure;

import java.util.Locale;

/** The demand and failures of a run. Rates are fractions of the capacity of all runners. */
enum Scenario {
  /** Constant demand. */
  STEADY(0.6, 100),
  /** Each model has short bursts of five times its demand, at independent times. */
  BURSTS(0.4, 100),
  /** One model's demand rises tenfold within a minute and stays at that level. */
  SHIFT(0.4, 160),
  /** All demand rises tenfold for half a minute. */
  TENFOLD(0.15, 100),
  /** Demand at the capacity. */
  CAPACITY(1, 100),
  /** Demand at twice the capacity, and callers that time out an attempt after half a second. */
  RETRIES(2, 100),
  /** A runner crashes and restarts with nothing loaded. */
  RUNNER_LOST(0.6, 120),
  /** The runners and entry instances of a failure domain are unreachable for a time. */
  DOMAIN_LOST(0.5, 120),
  /** The platform's store is down while a model's demand rises tenfold. */
  STORE_DOWN(0.4, 160);

  private final double load;
  private final int seconds;

  Scenario(double load, int seconds) {
    this.load = load;
    this.seconds = seconds;
  }

  /** Returns the initial demand as a fraction of capacity. */
  double load() {
    return load;
  }

  /** Returns the duration of arrivals after the warm-up, in seconds. */
  int seconds() {
    return seconds;
  }

  /** Returns the time without a first token after which a caller retries, in seconds. */
  double attemptTimeoutSeconds() {
    return this == RETRIES || this == TENFOLD ? 0.5 : 1.5;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
