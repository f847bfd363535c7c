package org.agatefield.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Determines from the crashes of runners which traits of requests cause them (see {@link
 * RequestTraits}).
 *
 * <p>Every trait that a crashed runner had in hand, and on which it had not begun a response, is a
 * suspect of that crash. Traits on which a runner has recently begun a response and continued to
 * run are sound. A trait is a culprit if it is a suspect of several crashes at different times and
 * no other trait explains the same crashes as well. Of traits that nothing separates, those at the
 * greatest position are culprits, as the fewest other requests have them. A trait that has
 * accompanied such a culprit at all of its crashes, and is a suspect of a crash without it, was the
 * cause of them all.
 *
 * <p>Invariants: the result depends only on the recorded facts and their times, not on their order;
 * crashes that a known culprit explains are not held against other traits, but for those that occur
 * at all of its crashes and at more; the size is bounded. Not thread safe. Reads no clock: all
 * times are monotonic milliseconds of the caller.
 */
public final class CrashAttribution {
  /** How long a crash remains evidence. */
  public static final long EVIDENCE_MILLISECONDS = 600_000;

  /** Traits that runners survived are not suspects of crashes within this time afterwards. */
  public static final long SOUND_MILLISECONDS = 20_000;

  /** How long others may report a crash after it occurred. */
  public static final long REPORT_MILLISECONDS = 30_000;

  /**
   * Crashes that are closer than this are one occurrence, as runners may be lost together, for
   * example with their failure domain.
   */
  public static final long SEPARATE_MILLISECONDS = 200;

  // Covers the latest report of the last crash before which the trait is sound, and its way.
  private static final long SURVIVAL_MILLISECONDS =
      SOUND_MILLISECONDS + REPORT_MILLISECONDS + 10_000;
  // A request is at one runner at a time, and its next send follows the loss of the one before. The
  // rest covers the difference between the times at which instances notice the same loss.
  private static final long SEPARATE_MILLISECONDS_OF_REQUEST = 50;
  private static final int OCCURRENCES_OF_ONLY_SUSPECT = 2;
  private static final int OCCURRENCES_OF_EQUAL_SUSPECTS = 3;
  private static final int MAXIMUM_CRASHES = 256;
  private static final int MAXIMUM_TRAITS_PER_CRASH = 256;
  private static final int MAXIMUM_SURVIVALS = 8_192;

  private final Map<Crash, RecordedCrash> crashes = new LinkedHashMap<>();
  private final Map<String, Long> survivals =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAXIMUM_SURVIVALS;
        }
      };

  /**
   * Identifies the crash of one process of a runner. Immutable.
   *
   * @param runner the runner's identifier
   * @param startTimeMilliseconds the wall-clock time of the process's start
   */
  public record Crash(String runner, long startTimeMilliseconds) {}

  /**
   * What is known of a crash. Immutable.
   *
   * @param at when it was first noticed
   * @param positions the traits that were in hand, with the position of each among those of its
   *     request
   */
  public record RecordedCrash(long at, Map<String, Integer> positions) {
    /** Copies the map. */
    public RecordedCrash {
      positions = Map.copyOf(positions);
    }
  }

  /**
   * Records a crash, or further traits that were in hand at a crash that is already recorded.
   *
   * @param positions the traits on which the runner had not begun a response, with the position of
   *     each among those of its request
   */
  public void crashed(Crash crash, Map<String, Integer> positions, long at) {
    forgetCrashes(at);
    RecordedCrash known = crashes.get(crash);
    Map<String, Integer> all = new TreeMap<>(positions);
    if (known != null) {
      known.positions().forEach((trait, position) -> all.merge(trait, position, Math::max));
    }
    while (all.size() > MAXIMUM_TRAITS_PER_CRASH) {
      all.remove(all.keySet().iterator().next());
    }
    crashes.put(crash, new RecordedCrash(known == null ? at : Math.min(known.at(), at), all));
    if (crashes.size() > MAXIMUM_CRASHES) {
      crashes.keySet().stream()
          .min(Comparator.comparingLong(each -> crashes.get(each).at()))
          .ifPresent(crashes::remove);
    }
  }

  /**
   * Forgets the crashes that are no longer evidence, and the survivals that neither a recorded
   * crash nor the late report of one needs. Most traits occur in one request only, so that their
   * survivals would otherwise be kept in numbers.
   */
  public void forgetOld(long now) {
    forgetCrashes(now);
    survivals
        .entrySet()
        .removeIf(
            survival ->
                now - survival.getValue() > SURVIVAL_MILLISECONDS
                    && crashes.values().stream()
                        .noneMatch(crash -> crash.positions().containsKey(survival.getKey())));
  }

  private void forgetCrashes(long now) {
    crashes.values().removeIf(known -> now - known.at() > EVIDENCE_MILLISECONDS);
  }

  /** Returns the number of traits whose survival is known. */
  int survivalCount() {
    return survivals.size();
  }

  /** Returns whether the crash of a process is recorded. */
  public boolean isRecorded(Crash process) {
    return crashes.containsKey(process);
  }

  /** Returns the crashes of the given number of milliseconds before a time. */
  public Map<Crash, RecordedCrash> recent(long milliseconds, long now) {
    Map<Crash, RecordedCrash> recent = new LinkedHashMap<>();
    crashes.forEach(
        (crash, record) -> {
          if (now - record.at() <= milliseconds) {
            recent.put(crash, record);
          }
        });
    return recent;
  }

  /** Records that a runner has begun a response on a trait and continued to run. */
  public void survived(String trait, long at) {
    Long before = survivals.remove(trait); // Moves the trait to the end of the order of removal.
    survivals.put(trait, before == null ? at : Math.max(before, at));
  }

  /** Returns when a runner last survived a trait. */
  public Optional<Long> lastSurvival(String trait) {
    return Optional.ofNullable(survivals.get(trait));
  }

  /** Returns whether a trait is no suspect of a crash at the given time. */
  public boolean isSound(String trait, long crashAt) {
    Long survival = survivals.get(trait);
    return survival != null && crashAt - survival <= SOUND_MILLISECONDS;
  }

  /** Returns the traits that are suspects of at least one recorded crash. */
  public Set<String> suspects() {
    return crashesBySuspect(Set.of()).keySet();
  }

  /** Returns the crashes of which a trait is a suspect. */
  public Set<Crash> crashesOf(String trait) {
    return crashesBySuspect(Set.of()).getOrDefault(trait, Set.of());
  }

  /**
   * Returns the traits that are culprits besides those already known.
   *
   * @param known the known culprits
   */
  public Set<String> culprits(Set<String> known) {
    Set<String> explaining = new HashSet<>(known);
    Set<String> found = new TreeSet<>();
    Set<String> next = strongest(explaining);
    while (!next.isEmpty()) {
      found.addAll(next);
      explaining.addAll(next);
      next = strongest(explaining);
    }
    return found;
  }

  /** Returns the culprits with the most occurrences among unexplained crashes. */
  private Set<String> strongest(Set<String> explaining) {
    Map<String, Set<Crash>> suspected = withInherited(crashesBySuspect(explaining), explaining);
    Set<String> best = new HashSet<>();
    int most = 0;
    for (Map.Entry<String, Set<Crash>> each : suspected.entrySet()) {
      int occurrences = occurrences(each.getKey(), each.getValue());
      if (isCulprit(each.getKey(), occurrences, suspected) && occurrences >= most) {
        if (occurrences > most) {
          best.clear();
        }
        most = occurrences;
        best.add(each.getKey());
      }
    }
    return best;
  }

  /**
   * Adds to the unexplained crashes of each trait those of the culprits at all of whose crashes it
   * is a suspect too, if it then explains more occurrences than the culprit.
   */
  private Map<String, Set<Crash>> withInherited(
      Map<String, Set<Crash>> unexplained, Set<String> culprits) {
    Map<String, Set<Crash>> suspected = crashesBySuspect(Set.of());
    Map<String, Set<Crash>> result = new HashMap<>();
    unexplained.forEach((trait, own) -> result.put(trait, new HashSet<>(own)));
    for (String culprit : culprits) {
      Set<Crash> explained = crashesWith(culprit);
      int occurrences = occurrences(culprit, explained);
      if (occurrences >= OCCURRENCES_OF_EQUAL_SUSPECTS) {
        unexplained.forEach(
            (trait, own) -> {
              if (suspected.get(trait).containsAll(explained)
                  && occurrences(trait, union(own, explained)) > occurrences) {
                result.get(trait).addAll(explained);
              }
            });
      }
    }
    return result;
  }

  private Set<Crash> crashesWith(String trait) {
    Set<Crash> with = new HashSet<>();
    crashes.forEach(
        (crash, record) -> {
          if (record.positions().containsKey(trait)) {
            with.add(crash);
          }
        });
    return with;
  }

  private static Set<Crash> union(Set<Crash> first, Set<Crash> second) {
    Set<Crash> union = new HashSet<>(first);
    union.addAll(second);
    return union;
  }

  private boolean isCulprit(String trait, int occurrences, Map<String, Set<Crash>> suspected) {
    if (occurrences < OCCURRENCES_OF_ONLY_SUSPECT) {
      return false;
    }
    Set<Crash> own = suspected.get(trait);
    for (Map.Entry<String, Set<Crash>> other : suspected.entrySet()) {
      boolean explainsAll = !other.getKey().equals(trait) && other.getValue().containsAll(own);
      boolean equal = explainsAll && other.getValue().size() == own.size();
      boolean decided = equal && occurrences >= OCCURRENCES_OF_EQUAL_SUSPECTS;
      if (explainsAll && !(decided && position(trait, own) >= position(other.getKey(), own))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the greatest position of a trait at the given crashes; fingerprints come after all
   * parts of prompts.
   */
  private int position(String trait, Set<Crash> of) {
    if (RequestFingerprint.isFingerprint(trait)) {
      return Integer.MAX_VALUE;
    }
    return of.stream()
        .mapToInt(crash -> crashes.get(crash).positions().getOrDefault(trait, 0))
        .max()
        .orElse(0);
  }

  private Map<String, Set<Crash>> crashesBySuspect(Set<String> explaining) {
    Map<String, Set<Crash>> suspected = new HashMap<>();
    crashes.forEach(
        (crash, record) -> {
          if (record.positions().keySet().stream().noneMatch(explaining::contains)) {
            record.positions().keySet().stream()
                .filter(trait -> !isSound(trait, record.at()))
                .forEach(
                    trait -> suspected.computeIfAbsent(trait, key -> new HashSet<>()).add(crash));
          }
        });
    return suspected;
  }

  /** Returns the number of crashes of a trait, counting those close to each other once. */
  private int occurrences(String trait, Set<Crash> of) {
    long separate =
        RequestFingerprint.isFingerprint(trait)
            ? SEPARATE_MILLISECONDS_OF_REQUEST
            : SEPARATE_MILLISECONDS;
    List<Long> times = new ArrayList<>();
    of.forEach(crash -> times.add(crashes.get(crash).at()));
    times.sort(null);
    int count = 0;
    long counted = 0;
    for (long at : times) {
      if (count == 0 || at - counted >= separate) {
        count++;
        counted = at;
      }
    }
    return count;
  }
}
