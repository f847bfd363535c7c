package org.agatefield.measure;

import java.util.concurrent.TimeUnit;

/**
 * The service-time model of a runner: an engine that batches continuously. Immutable.
 *
 * <p>One token of every running request takes {@code tokenBaseMilliseconds} and {@code
 * tokenSlopeMilliseconds} more for each request that generates. Prompts are read at {@code
 * prefillTokensPerSecond}, in up to half of the time, and hold up generation meanwhile. A prefix
 * that is cached is not read again.
 *
 * @param maximumBatch requests that run at once; more wait inside the engine
 * @param cachedPrefixes prefixes of 256 bytes that a runner caches, the latest used ones
 * @param adapterLoadMilliseconds time to load an adapter
 * @param weightLoadSeconds time to load a version at the weight store's full speed
 */
record ServiceTimes(
    double tokenBaseMilliseconds,
    double tokenSlopeMilliseconds,
    double prefillTokensPerSecond,
    int maximumBatch,
    int cachedPrefixes,
    double adapterLoadMilliseconds,
    double weightLoadSeconds) {
  static final double PREFILL_SHARE = 0.5;
  static final double MEAN_OUTPUT_TOKENS = 96;
  static final double MEAN_UNCACHED_PROMPT_TOKENS = 250;

  static ServiceTimes standard() {
    return new ServiceTimes(20, 1, 10_000, 32, 512, 10, 4);
  }

  /** Returns the time of one token when {@code running} requests generate, in nanoseconds. */
  double tokenNanoseconds(int running) {
    return (tokenBaseMilliseconds + tokenSlopeMilliseconds * running)
        * TimeUnit.MILLISECONDS.toNanos(1);
  }

  /** Returns the requests a second that a runner answers with a full batch. */
  double requestsPerSecondPerRunner() {
    double decode = MEAN_OUTPUT_TOKENS * tokenNanoseconds(maximumBatch) / maximumBatch;
    double prefill =
        MEAN_UNCACHED_PROMPT_TOKENS / prefillTokensPerSecond * TimeUnit.SECONDS.toNanos(1);
    return TimeUnit.SECONDS.toNanos(1) / (decode + prefill);
  }
}
