package org.agatefield.cost;

/**
 * Decides whether a request fits into the token memory of a runner that other instances fill too.
 *
 * <p>The older the view, the more memory is left to what has been sent since, and a request may
 * take only a share of what is free, so that two instances with the same view do not fill the same
 * room. Stateless and thread safe.
 */
public final class TokenRoom {
  private static final double MARGIN_SHARE = 0.03;
  private static final double MARGIN_SHARE_PER_SECOND = 0.05;
  private static final double MAXIMUM_MARGIN_SHARE = 0.2;
  private static final double MAXIMUM_SHARE_OF_FREE = 0.5;
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private TokenRoom() {}

  /** Whether a request fits. */
  public enum Room {
    /** It fits. */
    FREE,
    /** It may fit later. */
    FULL,
    /** It never fits. */
    TOO_SMALL
  }

  /**
   * What is known of a runner's memory. Immutable.
   *
   * @param totalTokens the size of the memory; 0 if it is not known
   * @param usedTokens what was used when the runner was last seen
   * @param ageMilliseconds the time since then
   * @param ownTokensSince what this instance has sent since then
   * @param othersTokensSince what others are expected to have sent since then
   */
  public record View(
      double totalTokens,
      double usedTokens,
      double ageMilliseconds,
      double ownTokensSince,
      double othersTokensSince) {
    /** Returns the memory that can be counted on; at least 0. */
    public double freeTokens() {
      double margin =
          Math.min(
              MAXIMUM_MARGIN_SHARE,
              MARGIN_SHARE
                  + MARGIN_SHARE_PER_SECOND
                      * Math.max(0, ageMilliseconds)
                      / MILLISECONDS_PER_SECOND);
      double used = usedTokens + ownTokensSince + othersTokensSince + margin * totalTokens;
      return Math.max(0, totalTokens - used);
    }
  }

  /**
   * Decides about one request.
   *
   * @param promptTokens the size of its prompt
   * @param memoryTokens the size of its prompt and its expected output
   */
  public static Room judge(View view, double promptTokens, double memoryTokens) {
    if (view.totalTokens() <= 0) {
      return Room.FREE;
    }
    if (promptTokens > view.totalTokens()) {
      return Room.TOO_SMALL;
    }
    double taken = view.usedTokens() + view.ownTokensSince() + view.othersTokensSince();
    if (taken < 1) {
      return Room.FREE; // An idle runner takes any request that it can hold.
    }
    return memoryTokens <= MAXIMUM_SHARE_OF_FREE * view.freeTokens() ? Room.FREE : Room.FULL;
  }
}
