package org.agatefield.forwarding;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Prompt tokens by the rank under which a runner reads them. Immutable.
 *
 * <p>A runner admits requests of lower ranks first, so that tokens of higher ranks stand in
 * nobody's way but their own kind's.
 */
public final class RankedTokens {
  /** The number of ranks; 0 is read first. */
  public static final int RANKS = 10;

  /** No tokens at all. */
  public static final RankedTokens NONE = new RankedTokens(new int[RANKS]);

  private final int[] tokens;

  private RankedTokens(int[] tokens) {
    this.tokens = tokens;
  }

  /** Returns tokens of one rank. */
  public static RankedTokens of(int rank, int tokens) {
    int[] ranked = new int[RANKS];
    ranked[rank] = Math.max(0, tokens);
    return new RankedTokens(ranked);
  }

  /** Returns the tokens that are listed from rank 0 on; ranks beyond the list have none. */
  public static RankedTokens ofList(List<Integer> list) {
    int[] ranked = new int[RANKS];
    for (int rank = 0; rank < Math.min(RANKS, list.size()); rank++) {
      ranked[rank] = Math.max(0, list.get(rank));
    }
    return new RankedTokens(ranked);
  }

  /** Returns the tokens from rank 0 to the last rank that has any. */
  public List<Integer> toList() {
    int length = RANKS;
    while (length > 0 && tokens[length - 1] == 0) {
      length--;
    }
    return Arrays.stream(tokens, 0, length).boxed().toList();
  }

  /** Returns the sum, rank by rank. */
  public RankedTokens plus(RankedTokens other) {
    return new RankedTokens(
        IntStream.range(0, RANKS).map(rank -> tokens[rank] + other.tokens[rank]).toArray());
  }

  /** Returns the difference, rank by rank, and 0 where it would be negative. */
  public RankedTokens minus(RankedTokens other) {
    return new RankedTokens(
        IntStream.range(0, RANKS)
            .map(rank -> Math.max(0, tokens[rank] - other.tokens[rank]))
            .toArray());
  }

  /** Returns the tokens that are read before, or along with, a request of a rank. */
  public int upTo(int rank) {
    return Arrays.stream(tokens, 0, rank + 1).sum();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RankedTokens ranked && Arrays.equals(tokens, ranked.tokens);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(tokens);
  }

  @Override
  public String toString() {
    return toList().toString();
  }
}
