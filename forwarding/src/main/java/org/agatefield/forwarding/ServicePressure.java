package org.agatefield.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.agatefield.admission.DecayingRate;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.Observed;
import org.agatefield.knowledge.TargetPressure;

/**
 * Which requests lack room at the runners, by target and urgency, as this instance and others see
 * it.
 *
 * <p>Invariants: requests that wait are counted until they are sent or ended; what others see
 * counts no longer than the maximum age of its kind; at most {@link #MAXIMUM_SUBJECTS} targets are
 * kept; nothing is published while nothing lacks room. Not thread safe.
 */
public final class ServicePressure {
  /** The time in which the weight of past requests falls by a factor of e. */
  static final long TIME_CONSTANT_MILLISECONDS = 2_000;

  /** The rank and beyond that are told apart no further. */
  private static final int LOWEST_RANK = 9;

  // Callers accept that a kind is served less often than a less urgent one by up to 5 in 100.
  private static final double TOLERATED_REFUSED_SHARE = 0.05;
  private static final int MAXIMUM_SUBJECTS = 4_096;
  private static final long SUMMARY_AGE_MILLISECONDS = 100;
  private static final double NEGLIGIBLE_PER_SECOND = 0.05;
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private final KnowledgeTable<TargetPressure> table;
  private final Map<Subject, Counts> own = new LinkedHashMap<>();
  private final Map<String, Summary> summaries = new HashMap<>();
  private final Set<String> published = new HashSet<>();

  /** What a request is for, and how urgent it is; without a model it stands for the service. */
  private record Subject(String service, Optional<String> model, int rank) {
    private Subject(String service, Optional<String> model, int rank) {
      this.service = service;
      this.model = model;
      this.rank = Math.max(0, Math.min(LOWEST_RANK, rank));
    }

    private String name() {
      return service + model.map(each -> "/" + each).orElse("") + '|' + rank;
    }
  }

  private static final class Counts {
    private final DecayingRate refused = rate();
    private final DecayingRate sent = rate();
    private int waiting;

    private static DecayingRate rate() {
      return new DecayingRate(TimeUnit.MILLISECONDS.toNanos(TIME_CONSTANT_MILLISECONDS));
    }

    private TargetPressure at(long now) {
      long nanoseconds = TimeUnit.MILLISECONDS.toNanos(now);
      return new TargetPressure(
          waiting, refused.perSecond(nanoseconds), sent.perSecond(nanoseconds));
    }
  }

  /** Whether requests for a service lacked room at a time. */
  private record Summary(boolean pressed, long atMilliseconds) {}

  /** Creates an empty record; {@code table} has what is shared with other instances. */
  public ServicePressure(KnowledgeTable<TargetPressure> table) {
    this.table = table;
  }

  /** Records that a request begins (1) or ceases (-1) to wait for room. */
  public void waiting(String service, String model, int rank, int change) {
    for (Counts counts : countsOf(service, model, rank)) {
      counts.waiting = Math.max(0, counts.waiting + change);
    }
    summaries.remove(service);
  }

  /** Records that a request was sent to a runner. */
  public void sent(String service, String model, int rank, long nowMilliseconds) {
    long now = TimeUnit.MILLISECONDS.toNanos(nowMilliseconds);
    countsOf(service, model, rank).forEach(counts -> counts.sent.add(1, now));
  }

  /** Records that a request was refused for lack of room. */
  public void refused(String service, String model, int rank, long nowMilliseconds) {
    long now = TimeUnit.MILLISECONDS.toNanos(nowMilliseconds);
    countsOf(service, model, rank).forEach(counts -> counts.refused.add(1, now));
    summaries.remove(service);
  }

  private Set<Counts> countsOf(String service, String model, int rank) {
    Set<Counts> counts = new HashSet<>();
    for (Optional<String> each : Set.of(Optional.<String>empty(), Optional.of(model))) {
      Subject subject = new Subject(service, each, rank);
      if (own.size() < MAXIMUM_SUBJECTS || own.containsKey(subject)) {
        counts.add(own.computeIfAbsent(subject, ignored -> new Counts()));
      }
    }
    return counts;
  }

  /** Returns how requests of one urgency fare at a target, at all instances together. */
  public TargetPressure of(String service, String model, int rank, long nowMilliseconds) {
    return total(new Subject(service, Optional.of(model), rank), nowMilliseconds);
  }

  private TargetPressure total(Subject subject, long now) {
    Counts counts = own.get(subject);
    TargetPressure mine = counts == null ? TargetPressure.NONE : counts.at(now);
    return table
        .knownElsewhere(subject.name(), now)
        .map(Observed::value)
        .map(mine::plus)
        .orElse(mine);
  }

  /** Returns how requests of one urgency and above fare at a target, at all instances together. */
  public TargetPressure upTo(String service, String model, int rank, long nowMilliseconds) {
    TargetPressure total = TargetPressure.NONE;
    for (int each = 0; each <= Math.min(LOWEST_RANK, rank); each++) {
      total = total.plus(of(service, model, each, nowMilliseconds));
    }
    return total;
  }

  /** Returns whether requests for a service of any urgency lack room. */
  public boolean isPressed(String service, long nowMilliseconds) {
    Summary summary = summaries.get(service);
    if (summary != null && nowMilliseconds - summary.atMilliseconds() < SUMMARY_AGE_MILLISECONDS) {
      return summary.pressed();
    }
    boolean pressed = false;
    for (int rank = 0; rank <= LOWEST_RANK && !pressed; rank++) {
      pressed = lacksRoom(total(new Subject(service, Optional.empty(), rank), nowMilliseconds));
    }
    summaries.put(service, new Summary(pressed, nowMilliseconds));
    return pressed;
  }

  /** Returns whether requests of an urgency and above for a target are refused for lack of room. */
  public boolean refuses(String service, String model, int rank, long nowMilliseconds) {
    return refusesTooMany(upTo(service, model, rank, nowMilliseconds));
  }

  private static boolean lacksRoom(TargetPressure pressure) {
    return pressure.waiting() > 0 || refusesTooMany(pressure);
  }

  private static boolean refusesTooMany(TargetPressure pressure) {
    double tolerated =
        TOLERATED_REFUSED_SHARE * (pressure.sentPerSecond() + pressure.refusedPerSecond());
    return pressure.refusedPerSecond() > Math.max(NEGLIGIBLE_PER_SECOND, tolerated);
  }

  /** Returns how many requests up to a rank were refused in the last seconds and may come back. */
  public double returnsExpected(String service, String model, int rank, long nowMilliseconds) {
    double perSecond = upTo(service, model, rank, nowMilliseconds).refusedPerSecond();
    return perSecond * TIME_CONSTANT_MILLISECONDS / MILLISECONDS_PER_SECOND;
  }

  /** Publishes what has changed, and forgets what no longer counts. */
  public void publish(long nowMilliseconds) {
    own.entrySet()
        .removeIf(
            entry -> {
              TargetPressure pressure = entry.getValue().at(nowMilliseconds);
              publish(entry.getKey().name(), pressure, nowMilliseconds);
              return isNegligible(pressure) && !published.contains(entry.getKey().name());
            });
  }

  private void publish(String subject, TargetPressure pressure, long now) {
    boolean counts =
        !hasNoLack(pressure)
            || !isNegligible(pressure)
                && table
                    .knownElsewhere(subject, now)
                    .filter(known -> !hasNoLack(known.value()))
                    .isPresent();
    if (counts) {
      published.add(subject);
      table.observe(subject, pressure, now);
    } else if (published.remove(subject)) {
      table.observe(subject, TargetPressure.NONE, now);
    }
  }

  private static boolean hasNoLack(TargetPressure pressure) {
    return pressure.waiting() == 0 && pressure.refusedPerSecond() < NEGLIGIBLE_PER_SECOND;
  }

  private static boolean isNegligible(TargetPressure pressure) {
    return hasNoLack(pressure) && pressure.sentPerSecond() < NEGLIGIBLE_PER_SECOND;
  }
}
