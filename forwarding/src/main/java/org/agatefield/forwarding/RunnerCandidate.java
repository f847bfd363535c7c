package org.agatefield.forwarding;

import org.agatefield.cost.TokenRoom.Room;

/**
 * A runner that could take a request, with its load as estimated by this instance. Immutable.
 *
 * @param id the runner's identifier
 * @param distance the distance from this instance
 * @param running requests running on it, from all instances as far as reported
 * @param slots requests that it runs concurrently
 * @param pendingPrefillTokens work of earlier requests that it has yet to read, as prompt tokens of
 *     a model of average pace
 * @param millisecondsPerToken the time that it takes for such a token now
 * @param millisecondsPerRequest its expected time for this request; 0 for a generation
 * @param uncachedPromptTokens the work of reading this request's prompt, in such tokens
 * @param adapterPresent whether it has the adapter that the request needs, or none is needed
 * @param outlook what else is expected of it
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
    boolean adapterPresent,
    Outlook outlook) {
  /**
   * What is expected of a runner besides the reading of prompts. Immutable.
   *
   * @param firstStepsMilliseconds the time from a prompt that is read to the first event
   * @param overdueMilliseconds how much longer than expected earlier requests are taking
   * @param delayToOthersMilliseconds the time that this request costs those that are there
   * @param viewAgeMilliseconds the mean age of what neighbours have reported
   * @param unseenMilliseconds the work that neighbours are expected to have sent since then
   * @param room whether the request fits into the runner's token memory
   */
  public record Outlook(
      double firstStepsMilliseconds,
      double overdueMilliseconds,
      double delayToOthersMilliseconds,
      double viewAgeMilliseconds,
      double unseenMilliseconds,
      Room room) {
    /** Nothing besides the reading of prompts. */
    public static final Outlook NONE = new Outlook(0, 0, 0, 0, 0, Room.FREE);
  }

  /** Creates a candidate of which nothing but the reading of prompts is expected. */
  public RunnerCandidate(
      String id,
      Distance distance,
      int running,
      int slots,
      double pendingPrefillTokens,
      double millisecondsPerToken,
      double millisecondsPerRequest,
      double uncachedPromptTokens,
      boolean adapterPresent) {
    this(
        id,
        distance,
        running,
        slots,
        pendingPrefillTokens,
        millisecondsPerToken,
        millisecondsPerRequest,
        uncachedPromptTokens,
        adapterPresent,
        Outlook.NONE);
  }

  /**
   * Returns the time until the prompt of this request has been prefilled, including the prompts of
   * earlier requests.
   */
  public double prefillMilliseconds() {
    return backlogMilliseconds() + uncachedPromptTokens * millisecondsPerToken;
  }

  /**
   * Returns the time to prefill the prompts of earlier requests; as long as some are overdue at
   * least, since there is work that was not seen.
   */
  public double backlogMilliseconds() {
    return Math.max(pendingPrefillTokens * millisecondsPerToken, outlook.overdueMilliseconds());
  }

  /** Returns the expected time to the first event of this request, or to its whole answer. */
  public double firstEventMilliseconds() {
    if (millisecondsPerRequest > 0) {
      return queueingMilliseconds() + outlook.overdueMilliseconds() + millisecondsPerRequest;
    }
    return prefillMilliseconds() + outlook.firstStepsMilliseconds();
  }

  /** Returns the time for which a plain request waits for one of the runner's slots. */
  private double queueingMilliseconds() {
    double ahead = Math.max(0, running + 1 - slots);
    double share = (double) running / Math.max(1, slots);
    return (ahead / Math.max(1, slots) + share) * millisecondsPerRequest;
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
