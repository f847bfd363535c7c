package org.agatefield.cost;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.Observed;

/**
 * The rates of one kind as this instance observes them, weighed against what others have told.
 *
 * <p>Invariants: a rate stays within the range of its kind; once this instance has observations
 * enough, what others tell shifts its estimate within a factor only; own observations fade and at
 * most {@link #MAXIMUM_SUBJECTS} subjects have any. Confined to one thread.
 */
final class SharedRates {
  /** Subjects with own observations; the least recently observed yield. */
  static final int MAXIMUM_SUBJECTS = 2_048;

  private static final double HALF_LIFE_MILLISECONDS = 45_000;
  private static final double PRIOR_WEIGHT = 2;
  // A single observation counts as if it were off by this factor at most.
  private static final double MAXIMUM_STEP_LOGARITHM = Math.log(2.5);
  // The first ones may be further off, since the default is only a guess.
  private static final double MAXIMUM_FIRST_STEP_LOGARITHM = Math.log(12);
  private static final double FIRST_OBSERVATIONS_WEIGHT = 1;
  // Own observations enough to doubt others that tell something else.
  private static final double TRUSTED_OWN_WEIGHT = 6;
  private static final double MAXIMUM_DIFFERENCE_LOGARITHM = Math.log(2);
  private static final double MAXIMUM_OTHERS_WEIGHT = 150;
  private static final long MINIMUM_PUBLICATION_MILLISECONDS = 2_000;
  private static final long MAXIMUM_PUBLICATION_MILLISECONDS = 25_000;
  private static final double PUBLISHED_CHANGE_LOGARITHM = Math.log(1.05);

  private final RateKind kind;
  private final KnowledgeTable<RateSum> table;
  private final double defaultLogarithm;
  private final Map<String, Own> own =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Own> eldest) {
          return size() > MAXIMUM_SUBJECTS;
        }
      };
  private final Map<String, RateSum> others = new HashMap<>();
  private final Map<String, Double> estimates = new HashMap<>();

  private static final class Own {
    private RateSum sum = RateSum.NONE;
    private RateSum published = RateSum.NONE;
    private long observedAt;
    private long publishedAt = Long.MIN_VALUE / 2;
  }

  SharedRates(RateKind kind, KnowledgeTable<RateSum> table, double defaultRate) {
    this.kind = kind;
    this.table = table;
    this.defaultLogarithm = Math.log(defaultRate);
  }

  /** Returns the logarithm of the estimated rate. */
  double logarithm(String subject) {
    Double estimate = estimates.get(subject);
    return estimate == null ? defaultLogarithm : estimate;
  }

  /** Returns whether this instance or another has observed a subject lately. */
  boolean isKnown(String subject) {
    return estimates.containsKey(subject);
  }

  /** Adds an observation, limited to what a single one can credibly differ from the estimate. */
  void observe(String subject, double logarithm, double weight, long nowMilliseconds) {
    double before = logarithm(subject);
    Own subjectOwn = own.computeIfAbsent(subject, ignored -> new Own());
    double known = subjectOwn.sum.weight() + others.getOrDefault(subject, RateSum.NONE).weight();
    double limit =
        known < FIRST_OBSERVATIONS_WEIGHT ? MAXIMUM_FIRST_STEP_LOGARITHM : MAXIMUM_STEP_LOGARITHM;
    double step = Math.max(-limit, Math.min(limit, logarithm - before));
    subjectOwn.sum =
        faded(subjectOwn, nowMilliseconds)
            .plus(RateSum.ofMean(weight, kind.limited(before + step)));
    subjectOwn.observedAt = nowMilliseconds;
    estimate(subject, subjectOwn.sum);
    publish(subject, subjectOwn, nowMilliseconds);
  }

  private void publish(String subject, Own subjectOwn, long now) {
    long elapsed = now - subjectOwn.publishedAt;
    double change = Math.abs(subjectOwn.sum.meanLogarithm() - subjectOwn.published.meanLogarithm());
    boolean changed =
        change > PUBLISHED_CHANGE_LOGARITHM
            || subjectOwn.sum.weight() > 2 * subjectOwn.published.weight();
    if (elapsed >= MAXIMUM_PUBLICATION_MILLISECONDS
        || changed && elapsed >= MINIMUM_PUBLICATION_MILLISECONDS) {
      subjectOwn.published = subjectOwn.sum;
      subjectOwn.publishedAt = now;
      table.observe(subject, subjectOwn.sum, now);
    }
  }

  /** Takes over what others have told since the last call. */
  void refresh(long nowMilliseconds) {
    others.clear();
    for (Map.Entry<String, Observed<RateSum>> each : table.all(nowMilliseconds).entrySet()) {
      RateSum sum = each.getValue().value().plus(published(each.getKey(), nowMilliseconds));
      if (sum.weight() > 0) {
        others.put(each.getKey(), sum);
      }
    }
    Iterator<Map.Entry<String, Own>> entries = own.entrySet().iterator();
    estimates.clear();
    while (entries.hasNext()) {
      Map.Entry<String, Own> each = entries.next();
      if (nowMilliseconds - each.getValue().observedAt > kind.maximumAgeMilliseconds()) {
        entries.remove();
      } else {
        estimate(each.getKey(), faded(each.getValue(), nowMilliseconds));
      }
    }
    for (String subject : others.keySet()) {
      if (!estimates.containsKey(subject)) {
        estimate(subject, RateSum.NONE);
      }
    }
  }

  /** Returns what the table counts as this instance's part, with a negative sign. */
  private RateSum published(String subject, long now) {
    Own subjectOwn = own.get(subject);
    boolean expired =
        subjectOwn == null || now - subjectOwn.publishedAt > kind.maximumAgeMilliseconds();
    return expired ? RateSum.NONE : subjectOwn.published.times(-1);
  }

  private void estimate(String subject, RateSum ownSum) {
    RateSum told = others.getOrDefault(subject, RateSum.NONE);
    double toldMean = kind.limited(told.meanLogarithm());
    if (ownSum.weight() >= TRUSTED_OWN_WEIGHT) {
      double mean = ownSum.meanLogarithm();
      toldMean =
          Math.max(
              mean - MAXIMUM_DIFFERENCE_LOGARITHM,
              Math.min(mean + MAXIMUM_DIFFERENCE_LOGARITHM, toldMean));
    }
    double toldWeight = Math.min(MAXIMUM_OTHERS_WEIGHT, Math.max(0, told.weight()));
    RateSum all =
        RateSum.ofMean(PRIOR_WEIGHT, defaultLogarithm)
            .plus(ownSum)
            .plus(RateSum.ofMean(toldWeight, toldMean));
    estimates.put(subject, kind.limited(all.meanLogarithm()));
  }

  private static RateSum faded(Own subjectOwn, long now) {
    double elapsed = Math.max(0, now - subjectOwn.observedAt);
    return subjectOwn.sum.times(Math.pow(0.5, elapsed / HALF_LIFE_MILLISECONDS));
  }
}
