package org.agatefield.measure;

import java.util.concurrent.TimeUnit;

/**
 * The service-time model of a runner with continuous batching. Immutable.
 *
 * <p>A decoding step, which generates one token for every running request, takes {@code
 * tokenBaseMilliseconds} plus {@code tokenSlopeMilliseconds} per generating request. Prefill runs
 * at {@code prefillTokensPerSecond}, uses up to half of the time and blocks generation meanwhile.
 * Cached prefixes need no prefill.
 *
 * @param maximumBatch maximum number of running requests; further ones are queued in the engine
 * @param cachedPrefixes capacity of a runner's LRU prefix cache, in prefixes of 256 bytes
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

  /** Returns the time per token while {@code running} requests generate, in nanoseconds. */
  double tokenNanoseconds(int running) {
    return (tokenBaseMilliseconds + tokenSlopeMilliseconds * running)
        * TimeUnit.MILLISECONDS.toNanos(1);
  }

  /** Returns the throughput of a runner with a full batch, in requests per second. */
  double requestsPerSecondPerRunner() {
    double decode = MEAN_OUTPUT_TOKENS * tokenNanoseconds(maximumBatch) / maximumBatch;
    double prefill =
        MEAN_UNCACHED_PROMPT_TOKENS / prefillTokensPerSecond * TimeUnit.SECONDS.toNanos(1);
    return TimeUnit.SECONDS.toNanos(1) / (decode + prefill);
  }
}
