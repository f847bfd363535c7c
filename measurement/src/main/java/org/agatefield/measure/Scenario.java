package org.agatefield.measure;

import java.util.Locale;

/** The demand and the failures of a run. Rates are shares of the capacity of all runners. */
enum Scenario {
  /** Even demand. */
  STEADY(0.6, 100),
  /** Each model has short bursts of five times its demand at times of its own. */
  BURSTS(0.4, 100),
  /** One model's demand rises tenfold within a minute and stays there. */
  SHIFT(0.4, 160),
  /** All demand rises tenfold for half a minute. */
  TENFOLD(0.15, 100),
  /** Demand at the capacity. */
  CAPACITY(1, 100),
  /** Demand at twice the capacity, and callers that give an attempt up after half a second. */
  RETRIES(2, 100),
  /** A runner dies and comes back empty. */
  RUNNER_LOST(0.6, 120),
  /** The runners and entry instances of a failure domain fall silent for a time. */
  DOMAIN_LOST(0.5, 120),
  /** The platform's store is down while a model's demand rises tenfold. */
  STORE_DOWN(0.4, 160);

  private final double load;
  private final int seconds;

  Scenario(double load, int seconds) {
    this.load = load;
    this.seconds = seconds;
  }

  /** Returns the demand as a share of capacity before anything changes. */
  double load() {
    return load;
  }

  /** Returns how long requests arrive. */
  int seconds() {
    return seconds;
  }

  /** Returns after how many seconds without a first token a caller sends again. */
  double patienceSeconds() {
    return this == RETRIES || this == TENFOLD ? 0.5 : 1.5;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
