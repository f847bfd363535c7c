package org.agatefield.knowledge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What this instance and others know of one kind.
 *
 * <p>Invariants: a value counts once for each source, and not beyond the kind's maximum age; at
 * most {@link #MAXIMUM_SUBJECTS} subjects are kept for a source, whatever it sends. Confined to one
 * thread.
 *
 * @param <V> the type of a value
 */
public final class KnowledgeTable<V> {
  /** Subjects that are kept for one source; several times the runners of the largest fleet. */
  public static final int MAXIMUM_SUBJECTS = 8_192;

  private static final String SELF = "";
  private static final long OBSERVATIONS_PER_MAXIMUM_AGE = 3;

  private final KnowledgeKind<V> kind;
  private final Map<String, Map<String, Entry<V>>> sources = new HashMap<>();
  private long revision;

  private record Entry<V>(Observed<V> observed, long revision) {}

  /**
   * A selection of facts to send. Immutable.
   *
   * @param facts the values by subject
   * @param revision the revision of the table that the selection covers
   */
  public record Selection<V>(Map<String, Observed<V>> facts, long revision) {
    /** Copies the map. */
    public Selection {
      facts = Map.copyOf(facts);
    }
  }

  /** Creates an empty table. */
  public KnowledgeTable(KnowledgeKind<V> kind) {
    this.kind = kind;
  }

  /** Returns the kind of the values. */
  public KnowledgeKind<V> kind() {
    return kind;
  }

  /** Records what this instance has observed of a subject. */
  public void observe(String subject, V value, long nowMilliseconds) {
    put(SELF, subject, new Observed<>(value, nowMilliseconds));
  }

  /**
   * Records what this instance has observed of a subject, unless it would only repeat what others
   * have been told lately.
   */
  public void observeChange(String subject, V value, long nowMilliseconds) {
    Entry<V> known = sources.getOrDefault(SELF, Map.of()).get(subject);
    boolean repeated =
        known != null
            && known.observed().value().equals(value)
            && known.observed().ageMilliseconds(nowMilliseconds)
                < kind.maximumAgeMilliseconds() / OBSERVATIONS_PER_MAXIMUM_AGE;
    if (!repeated) {
      observe(subject, value, nowMilliseconds);
    }
  }

  /** Records what another source knows of a subject. */
  public void receive(String source, String subject, Observed<V> observed, long nowMilliseconds) {
    if (!isExpired(observed, nowMilliseconds)) {
      put(source, subject, observed);
    }
  }

  private void put(String source, String subject, Observed<V> observed) {
    Map<String, Entry<V>> entries = sources.computeIfAbsent(source, ignored -> new HashMap<>());
    if (entries.size() >= MAXIMUM_SUBJECTS && !entries.containsKey(subject)) {
      return;
    }
    revision++;
    entries.put(subject, new Entry<>(observed, revision));
  }

  /** Forgets what the sources that match know, because another source now speaks for them. */
  public void forgetSources(Predicate<String> source) {
    sources.keySet().removeIf(each -> !each.equals(SELF) && source.test(each));
  }

  /** Returns what all sources together know of a subject. */
  public Optional<Observed<V>> known(String subject, long nowMilliseconds) {
    return combined(sources.keySet(), subject, nowMilliseconds);
  }

  /** Returns what the sources besides this instance know of a subject. */
  public Optional<Observed<V>> knownElsewhere(String subject, long nowMilliseconds) {
    return combined(sources(), subject, nowMilliseconds);
  }

  /** Returns what all sources together know. */
  public Map<String, Observed<V>> all(long nowMilliseconds) {
    removeExpired(nowMilliseconds);
    Map<String, Observed<V>> all = new HashMap<>();
    for (Map<String, Entry<V>> entries : sources.values()) {
      entries.forEach((subject, entry) -> all.merge(subject, entry.observed(), kind::combine));
    }
    return all;
  }

  /**
   * Selects what this instance knows of itself and the given sources and has not sent yet.
   *
   * @param others the sources that this instance speaks for besides itself
   * @param sinceRevision the revision that the receiver has; 0 to select everything
   * @param maximumFacts the largest number of facts; the longest unsent come first
   */
  public Selection<V> select(
      Collection<String> others, long sinceRevision, int maximumFacts, long nowMilliseconds) {
    removeExpired(nowMilliseconds);
    Set<String> selected = new HashSet<>(others);
    selected.add(SELF);
    Map<String, Long> changed = new HashMap<>();
    for (String source : selected) {
      sources
          .getOrDefault(source, Map.of())
          .forEach(
              (subject, entry) -> {
                if (entry.revision() > sinceRevision) {
                  changed.merge(subject, entry.revision(), Math::max);
                }
              });
    }
    List<Map.Entry<String, Long>> oldestFirst = new ArrayList<>(changed.entrySet());
    oldestFirst.sort(Map.Entry.comparingByValue(Comparator.naturalOrder()));
    boolean complete = oldestFirst.size() <= maximumFacts;
    List<Map.Entry<String, Long>> taken =
        complete ? oldestFirst : oldestFirst.subList(0, maximumFacts);
    long covered = complete || taken.isEmpty() ? revision : taken.get(taken.size() - 1).getValue();
    Map<String, Observed<V>> facts = new HashMap<>();
    for (Map.Entry<String, Long> each : taken) {
      combined(selected, each.getKey(), nowMilliseconds)
          .ifPresent(observed -> facts.put(each.getKey(), observed));
    }
    return new Selection<>(facts, covered);
  }

  /** Returns the sources besides this instance. */
  public Set<String> sources() {
    Set<String> others = new HashSet<>(sources.keySet());
    others.remove(SELF);
    return others;
  }

  private Optional<Observed<V>> combined(Collection<String> selected, String subject, long now) {
    Observed<V> result = null;
    for (String source : selected) {
      Entry<V> entry = sources.getOrDefault(source, Map.of()).get(subject);
      if (entry == null || isExpired(entry.observed(), now)) {
        continue;
      }
      result = result == null ? entry.observed() : kind.combine(result, entry.observed());
    }
    return Optional.ofNullable(result);
  }

  private void removeExpired(long now) {
    Iterator<Map<String, Entry<V>>> each = sources.values().iterator();
    while (each.hasNext()) {
      Map<String, Entry<V>> entries = each.next();
      entries.values().removeIf(entry -> isExpired(entry.observed(), now));
      if (entries.isEmpty()) {
        each.remove();
      }
    }
  }

  private boolean isExpired(Observed<V> observed, long now) {
    return observed.ageMilliseconds(now) > kind.maximumAgeMilliseconds();
  }
}
