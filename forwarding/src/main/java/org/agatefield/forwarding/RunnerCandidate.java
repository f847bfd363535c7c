package org.agatefield.forwarding;

/**
 * A runner that could take a request, as the choosing instance sees it. Immutable.
 *
 * @param id the runner's identifier
 * @param distance where it lies, seen from this instance
 * @param running requests at it, of all instances as far as known
 * @param slots requests that it runs at once
 * @param pendingPrefillTokens prompt tokens that it has yet to read for requests before this one
 * @param millisecondsPerToken how long it lately took to read a prompt token
 * @param millisecondsPerRequest how long it lately took for a whole plain request
 * @param uncachedPromptTokens prompt tokens of this request that it would have to read
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
  /** Returns how long the prompts that stand before the answer, this one's included, take. */
  public double prefillMilliseconds() {
    return (pendingPrefillTokens + uncachedPromptTokens) * millisecondsPerToken;
  }

  /** Returns how long the prompts of requests before this one take. */
  public double backlogMilliseconds() {
    return pendingPrefillTokens * millisecondsPerToken;
  }

  /** Where a runner lies, seen from an instance. */
  public enum Distance {
    /** In the instance's failure domain. */
    SAME_DOMAIN,
    /** In another failure domain of the instance's region. */
    SAME_REGION,
    /** In another region. */
    OTHER_REGION
  }
}
