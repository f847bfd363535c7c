package org.agatefield.cost;

/**
 * The work of one attempt at a runner, from its start to its end. Changed only by {@link WorkLeft}.
 */
public final class AttemptWork {
  private final String runner;
  private final Expectation expectation;
  private final long sentAt;
  private long firstEventAt = -1;
  private boolean ended;

  /**
   * What is expected of an attempt. Immutable.
   *
   * @param workMilliseconds its own work until the first event, on a runner of speed 1
   * @param allWorkMilliseconds the same with the work ahead of it
   * @param firstEventMilliseconds the expected time to the first event
   * @param outputTokens the expected length of its output
   * @param memoryTokens the token memory that it takes in the end
   * @param pendingTokens its work as it is told to other instances
   */
  public record Expectation(
      double workMilliseconds,
      double allWorkMilliseconds,
      double firstEventMilliseconds,
      double outputTokens,
      double memoryTokens,
      int pendingTokens) {}

  AttemptWork(String runner, Expectation expectation, long sentAt) {
    this.runner = runner;
    this.expectation = expectation;
    this.sentAt = sentAt;
  }

  /** Returns the identifier of the runner. */
  public String runner() {
    return runner;
  }

  /** Returns what was expected when the attempt started. */
  public Expectation expectation() {
    return expectation;
  }

  /** Returns when the attempt started, in monotonic milliseconds. */
  public long sentAt() {
    return sentAt;
  }

  /** Returns how long the first event took; -1 if there was none. */
  public long firstEventMilliseconds() {
    return firstEventAt < 0 ? -1 : firstEventAt - sentAt;
  }

  boolean hasBegun() {
    return firstEventAt >= 0;
  }

  void begin(long nowMilliseconds) {
    firstEventAt = nowMilliseconds;
  }

  /** Marks the attempt as ended; returns whether it was not before. */
  boolean end() {
    boolean first = !ended;
    ended = true;
    return first;
  }

  boolean hasEnded() {
    return ended;
  }

  long writingSince() {
    return firstEventAt;
  }
}
