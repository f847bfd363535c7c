package org.agatefield.membership;

/**
 * Tracks whether this member itself is slow, and lengthens its time-outs for others if it is.
 *
 * <p>Invariant: the score is between 0 and its maximum. Not thread-safe.
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
