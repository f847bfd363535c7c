package org.agatefield.measure;

import java.util.List;

/** An attempt to serve a request on a runner. Confined to the driver's thread. */
final class RunnerAttempt {
  final double outputTokens;
  final List<Long> prefixHashes;
  final Listener listener;
  double remainingPromptTokens;
  double generatedTokens;
  double busyNanoseconds;
  boolean started;
  boolean done;

  /** Receives the progress of an attempt. */
  interface Listener {
    void firstToken();

    void completed();

    /** Called when the runner has crashed. */
    void failed();
  }

  RunnerAttempt(Arrival arrival, Listener listener) {
    this.remainingPromptTokens = arrival.promptTokens();
    this.outputTokens = arrival.outputTokens();
    this.prefixHashes = arrival.prefixHashes();
    this.listener = listener;
  }
}
