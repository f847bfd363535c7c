package org.agatefield.membership;

/**
 * How far this member trusts its own timers: a member that is slow itself gives others more time.
 *
 * <p>Invariant: the score lies between 0 and its maximum. Not safe for use by several threads.
 */
final class LocalHealth {
  private final int maximumScore;
  private int score;

  LocalHealth(int maximumScore) {
    this.maximumScore = maximumScore;
  }

  void worsen() {
    score = Math.min(maximumScore, score + 1);
  }

  void improve() {
    score = Math.max(0, score - 1);
  }

  long scale(long milliseconds) {
    return milliseconds * (1 + score);
  }

  int score() {
    return score;
  }
}
