package org.agatefield.placement;

/**
 * How long an engine of speed 1 is busy for each token of a model. Immutable.
 *
 * @param promptMilliseconds time for a token that is read
 * @param outputMilliseconds time for a token that is generated
 */
public record TokenWork(double promptMilliseconds, double outputMilliseconds) {
  // An engine reads about 13,000 prompt tokens per second with 34 GB of weights while it decodes;
  // the time per token is proportional to the size of the weights.
  private static final double NOMINAL_MILLISECONDS_PER_TOKEN_AND_MEGABYTE =
      1_000.0 / 13_000 / 34_300;
  // A step of a full batch generates one token for each request, where a prompt is read in pieces.
  private static final double PROMPT_TOKENS_PER_OUTPUT_TOKEN = 4;
  // A fuller engine keeps requests waiting beyond the objectives of urgent ones.
  static final double USABLE_SHARE = 0.7;

  /** Returns the work while nothing has been learned; it includes that of the generated tokens. */
  public static TokenWork nominal(double weightsMegabytes) {
    return new TokenWork(weightsMegabytes * NOMINAL_MILLISECONDS_PER_TOKEN_AND_MEGABYTE, 0);
  }

  /** Returns the work for a learned time per prompt token. */
  public static TokenWork learned(double millisecondsPerToken) {
    double planned = millisecondsPerToken / USABLE_SHARE;
    return new TokenWork(planned, planned * PROMPT_TOKENS_PER_OUTPUT_TOKEN);
  }

  /** Returns how many engines of speed 1 the demand keeps busy. */
  public double engines(DemandTracker.Demand demand) {
    return (demand.tokensPerSecond() * promptMilliseconds
            + demand.outputTokensPerSecond() * outputMilliseconds)
        / 1_000;
  }
}
