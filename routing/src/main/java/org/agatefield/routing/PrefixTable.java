package org.agatefield.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which prompt prefixes each runner is believed to have cached, from what was sent to it and from
 * its cache events.
 *
 * <p>Only a hint: events come late and with gaps, so an entry may be wrong either way. After a gap
 * in a runner's events, what was known of it before counts half until it is confirmed. Invariant:
 * at most the given number of prefixes is kept for each runner, the latest used ones. Confined to
 * one thread at a time.
 */
public final class PrefixTable {
  private static final double UNCERTAIN_WEIGHT = 0.5;

  private final int prefixesPerRunner;
  private final Map<String, RunnerPrefixes> runners = new HashMap<>();

  /** Creates an empty table. */
  public PrefixTable(int prefixesPerRunner) {
    this.prefixesPerRunner = prefixesPerRunner;
  }

  /**
   * A change of a runner's prefix cache. Immutable.
   *
   * @param sequence rises by 1 from event to event of one runner
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

  /** Takes in an event of a runner; one that is older than an earlier one is ignored. */
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

  /** Forgets a runner, which was started again or is gone. */
  public void forget(String runner) {
    runners.remove(runner);
  }

  /**
   * Returns the expected share of the prompt that the runner has cached, from 0 to 1.
   *
   * @param prefixHashes growing prefixes, shortest first
   */
  public double cachedShare(String runner, List<Long> prefixHashes) {
    RunnerPrefixes prefixes = runners.get(runner);
    if (prefixes == null || prefixHashes.isEmpty()) {
      return 0;
    }
    for (int position = prefixHashes.size() - 1; position >= 0; position--) {
      Integer epoch = prefixes.epochs.get(prefixHashes.get(position));
      if (epoch != null) {
        double weight = epoch == prefixes.epoch ? 1 : UNCERTAIN_WEIGHT;
        return weight * (position + 1) / prefixHashes.size();
      }
    }
    return 0;
  }

  private RunnerPrefixes runner(String name) {
    return runners.computeIfAbsent(name, ignored -> new RunnerPrefixes(prefixesPerRunner));
  }
}
