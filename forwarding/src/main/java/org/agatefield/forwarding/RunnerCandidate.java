package org.agatefield.forwarding;

/**
 * A runner that could take a request, with its load as estimated by this instance. Immutable.
 *
 * @param id the runner's identifier
 * @param distance the distance from this instance
 * @param running requests running on it, from all instances as far as reported
 * @param slots requests that it runs concurrently
 * @param pendingPrefillTokens prompt tokens of earlier requests that it has yet to prefill
 * @param millisecondsPerToken its recent prefill time per prompt token
 * @param millisecondsPerRequest its recent service time of a plain request
 * @param uncachedPromptTokens prompt tokens of this request that it would have to prefill
 * @param adapterPresent whether it has the adapter that the request needs, or none is needed
 */
public record RunnerCandidate(
    String id,
    Distance distance,
    int running,
    int slots,
    double pendingPrefillTokens,
    double millisecondsPerToken,
    double millisecondsPerRequest,
    double uncachedPromptTokens,
    boolean adapterPresent) {
  /**
   * Returns the time until the prompt of this request has been prefilled, including the prompts of
   * earlier requests.
   */
  public double prefillMilliseconds() {
    return (pendingPrefillTokens + uncachedPromptTokens) * millisecondsPerToken;
  }

  /** Returns the time to prefill the prompts of earlier requests. */
  public double backlogMilliseconds() {
    return pendingPrefillTokens * millisecondsPerToken;
  }

  /** The distance of a runner from an instance. */
  public enum Distance {
    /** In the instance's failure domain. */
    SAME_DOMAIN,
    /** In another failure domain of the instance's region. */
    SAME_REGION,
    /** In another region. */
    OTHER_REGION
  }
}
