package org.agatefield.knowledge;

import java.util.List;
import java.util.Optional;

/**
 * What a runner last said of its own work. Immutable.
 *
 * @param startTimeMilliseconds the wall-clock time of its start, which tells its processes apart
 * @param running requests that it runs
 * @param waiting requests in its queue
 * @param usedTokens the token memory that cannot yield to other requests
 * @param totalTokens its token memory; 0 if it has none or does not say
 */
public record RunnerState(
    long startTimeMilliseconds, int running, int waiting, long usedTokens, long totalTokens) {
  /** Knowledge by runner identifier; the newest report counts. Stateless and thread safe. */
  public static final KnowledgeKind<RunnerState> KIND = new Kind();

  private static final class Kind implements KnowledgeKind<RunnerState> {
    // Twice the longest interval between two reports of one runner.
    private static final long MAXIMUM_AGE_MILLISECONDS = 4_000;
    private static final int NUMBERS = 5;

    @Override
    public Terms terms() {
      return new Terms("runner-state", Scope.FLEET, MAXIMUM_AGE_MILLISECONDS);
    }

    @Override
    public Observed<RunnerState> combine(
        Observed<RunnerState> first, Observed<RunnerState> second) {
      return KnowledgeKind.newest(first, second);
    }

    @Override
    public List<Long> encode(RunnerState value) {
      return List.of(
          value.startTimeMilliseconds(),
          (long) value.running(),
          (long) value.waiting(),
          value.usedTokens(),
          value.totalTokens());
    }

    @Override
    public Optional<RunnerState> decode(List<Long> numbers) {
      if (!KnowledgeKind.areCounts(numbers, NUMBERS)
          || numbers.get(1) > Integer.MAX_VALUE
          || numbers.get(2) > Integer.MAX_VALUE) {
        return Optional.empty();
      }
      return Optional.of(
          new RunnerState(
              numbers.get(0),
              numbers.get(1).intValue(),
              numbers.get(2).intValue(),
              numbers.get(3),
              numbers.get(4)));
    }
  }
}
