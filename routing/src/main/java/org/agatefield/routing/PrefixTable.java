package org.agatefield.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which prompt prefixes each runner has probably cached, based on the requests sent to it
 * and on its cache events.
 *
 * <p>The table is only a hint: events arrive late and with gaps, so an entry may be wrong in either
 * direction. After a gap in a runner's events, its earlier entries count half until they are
 * confirmed. Invariant: at most the given number of prefixes is stored per runner, the most
 * recently used ones. Not thread safe.
 */
public final class PrefixTable {
  private static final double UNCONFIRMED_WEIGHT = 0.5;

  private final int prefixesPerRunner;
  private final Map<String, RunnerPrefixes> runners = new HashMap<>();

  /** Creates an empty table for at most {@code prefixesPerRunner} prefixes per runner. */
  public PrefixTable(int prefixesPerRunner) {
    this.prefixesPerRunner = prefixesPerRunner;
  }

  /**
   * A change of a runner's prefix cache. Immutable.
   *
   * @param sequence increases by 1 from event to event of one runner
   * @param stored hashes that are now cached
   * @param evicted hashes that are no longer cached
   */
  public record CacheEvent(long sequence, List<Long> stored, List<Long> evicted) {
    /** Copies the lists. */
    public CacheEvent {
      stored = List.copyOf(stored);
      evicted = List.copyOf(evicted);
    }
  }

  private static final class RunnerPrefixes {
    private final LinkedHashMap<Long, Integer> epochs;
    private long lastSequence = -1;
    private int epoch;

    private RunnerPrefixes(int capacity) {
      epochs =
          new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Integer> eldest) {
              return size() > capacity;
            }
          };
    }

    private void store(List<Long> hashes) {
      hashes.forEach(hash -> epochs.put(hash, epoch));
    }
  }

  /** Records that a prompt with these prefixes was sent to a runner. */
  public void sent(String runner, List<Long> prefixHashes) {
    runner(runner).store(prefixHashes);
  }

  /** Applies an event of a runner; events that are older than the last applied one are ignored. */
  public void event(String runner, CacheEvent event) {
    RunnerPrefixes prefixes = runner(runner);
    if (event.sequence() <= prefixes.lastSequence) {
      return;
    }
    if (prefixes.lastSequence >= 0 && event.sequence() > prefixes.lastSequence + 1) {
      prefixes.epoch++;
    }
    prefixes.lastSequence = event.sequence();
    event.evicted().forEach(prefixes.epochs::remove);
    prefixes.store(event.stored());
  }

  /** Removes a runner that has restarted or left. */
  public void forget(String runner) {
    runners.remove(runner);
  }

  /**
   * Returns the expected share of the prompt that the runner has cached, from 0 to 1.
   *
   * @param prefixHashes hashes of increasingly long prefixes, shortest first
   */
  public double cachedShare(String runner, List<Long> prefixHashes) {
    RunnerPrefixes prefixes = runners.get(runner);
    if (prefixes == null || prefixHashes.isEmpty()) {
      return 0;
    }
    for (int position = prefixHashes.size() - 1; position >= 0; position--) {
      Integer epoch = prefixes.epochs.get(prefixHashes.get(position));
      if (epoch != null) {
        double weight = epoch == prefixes.epoch ? 1 : UNCONFIRMED_WEIGHT;
        return weight * (position + 1) / prefixHashes.size();
      }
    }
    return 0;
  }

  private RunnerPrefixes runner(String name) {
    return runners.computeIfAbsent(name, ignored -> new RunnerPrefixes(prefixesPerRunner));
  }
}
