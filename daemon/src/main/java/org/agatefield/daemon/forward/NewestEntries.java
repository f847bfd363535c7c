package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.agatefield.forwarding.RunnerEntry;

/**
 * Remembers how far each runner's entry has come, so that an older entry is not taken for news.
 *
 * <p>The store may come back from an older copy, and relays lag behind each other. Invariant: of
 * the entries of one process of a runner an earlier one is outdated once a later one was recorded,
 * and every one of them up to the last once the runner is gone. Entries without a start time or a
 * number are never outdated. Confined to one event loop.
 */
final class NewestEntries {
  // Far longer than the time by which a copy of the store may be older.
  private static final long RETENTION_MILLISECONDS = 600_000;

  private final Map<String, Newest> newest = new HashMap<>();

  private record Newest(long startTimeMilliseconds, long number, OptionalLong goneAt) {}

  /** Returns whether an entry is older than what is known of its runner. */
  boolean isOutdated(RunnerEntry entry) {
    Newest known = newest.get(entry.id());
    if (known == null || !isNumbered(entry)) {
      return false;
    }
    if (entry.startTimeMilliseconds() != known.startTimeMilliseconds()) {
      return entry.startTimeMilliseconds() < known.startTimeMilliseconds();
    }
    long number = entry.number().getAsLong();
    return number < known.number() || (number == known.number() && known.goneAt().isPresent());
  }

  /** Records an entry that is in use. */
  void record(RunnerEntry entry) {
    if (isNumbered(entry)) {
      newest.put(entry.id(), newest(entry, OptionalLong.empty()));
    }
  }

  /** Records that a runner is gone whose last entry is given. */
  void recordGone(RunnerEntry entry, long now) {
    if (isNumbered(entry)) {
      newest.put(entry.id(), newest(entry, OptionalLong.of(now)));
    }
  }

  /** Forgets the runners that have been gone for long. */
  void forgetOld(long now) {
    newest
        .values()
        .removeIf(
            each ->
                each.goneAt().isPresent()
                    && now - each.goneAt().getAsLong() > RETENTION_MILLISECONDS);
  }

  private static Newest newest(RunnerEntry entry, OptionalLong goneAt) {
    return new Newest(entry.startTimeMilliseconds(), entry.number().getAsLong(), goneAt);
  }

  private static boolean isNumbered(RunnerEntry entry) {
    return entry.number().isPresent() && entry.startTimeMilliseconds() > 0;
  }
}
