package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.agatefield.forwarding.RunnerEntry;

/**
 * Remembers how far the entry of each runner process has come, so that an older entry is not taken
 * for news.
 *
 * <p>The store may come back from an older copy, and relays lag behind each other. Invariants: of
 * the entries of one process an earlier one is outdated once a later one was recorded, and its last
 * one too once the runner has left; entries of different processes apply in the order in which they
 * come, as do entries without a start time or a number. Confined to one event loop.
 */
final class NewestEntries {
  // Far longer than the time by which a copy of the store may be older.
  private static final long RETENTION_MILLISECONDS = 600_000;

  private final Map<String, Newest> newest = new HashMap<>();

  private record Newest(long startTimeMilliseconds, long number, OptionalLong leftAt) {}

  /** Returns whether an entry is older than what is known of its process. */
  boolean isOutdated(RunnerEntry entry) {
    Newest known = newest.get(entry.id());
    boolean sameProcess =
        known != null
            && isNumbered(entry)
            && entry.startTimeMilliseconds() == known.startTimeMilliseconds();
    if (!sameProcess) {
      return false;
    }
    long number = entry.number().getAsLong();
    return number < known.number() || (number == known.number() && known.leftAt().isPresent());
  }

  /** Returns whether an entry is of another process than the last one of its runner. */
  boolean isOfOtherProcess(RunnerEntry entry) {
    Newest known = newest.get(entry.id());
    return known != null
        && isNumbered(entry)
        && entry.startTimeMilliseconds() != known.startTimeMilliseconds();
  }

  /** Returns whether nothing is known of the processes of a runner but this entry. */
  boolean isFirstOf(RunnerEntry entry) {
    return isNumbered(entry) && !newest.containsKey(entry.id());
  }

  /** Records an entry that is in use. */
  void record(RunnerEntry entry) {
    if (isNumbered(entry)) {
      newest.put(entry.id(), newest(entry, OptionalLong.empty()));
    }
  }

  /** Records that a runner has left whose last entry is given. */
  void recordLeft(RunnerEntry entry, long now) {
    if (isNumbered(entry)) {
      newest.put(entry.id(), newest(entry, OptionalLong.of(now)));
    }
  }

  /** Forgets the runners that left long ago. */
  void forgetOld(long now) {
    newest
        .values()
        .removeIf(
            each ->
                each.leftAt().isPresent()
                    && now - each.leftAt().getAsLong() > RETENTION_MILLISECONDS);
  }

  private static Newest newest(RunnerEntry entry, OptionalLong leftAt) {
    return new Newest(entry.startTimeMilliseconds(), entry.number().getAsLong(), leftAt);
  }

  private static boolean isNumbered(RunnerEntry entry) {
    return entry.number().isPresent() && entry.startTimeMilliseconds() > 0;
  }
}
