package org.agatefield.measure;

import java.util.List;

/** An attempt at a runner. Confined to the driver's thread. */
final class Work {
  final double outputTokens;
  final List<Long> prefixHashes;
  final Listener listener;
  double promptTokensLeft;
  double tokensDone;
  double busyNanoseconds;
  boolean started;
  boolean over;

  /** Hears of an attempt's progress at its runner. */
  interface Listener {
    void firstToken();

    void whole();

    /** The runner died. */
    void failed();
  }

  Work(Arrival arrival, Listener listener) {
    this.promptTokensLeft = arrival.promptTokens();
    this.outputTokens = arrival.outputTokens();
    this.prefixHashes = arrival.prefixHashes();
    this.listener = listener;
  }
}
