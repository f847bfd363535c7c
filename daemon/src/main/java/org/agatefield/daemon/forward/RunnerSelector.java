package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.agatefield.forwarding.GenerationParameters;
import org.agatefield.forwarding.RunnerCandidate;
import org.agatefield.forwarding.RunnerCandidate.Distance;
import org.agatefield.forwarding.RunnerChooser;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.forwarding.RunnerLoads;
import org.agatefield.model.FailureDomain;
import org.agatefield.routing.OutlierDetector;

/**
 * Finds the runner for a request from entries, loads, health and presence.
 *
 * <p>Confined to one event loop.
 */
final class RunnerSelector implements RunnerDirectory.Listener {
  // Half the drain bound: a runner that came back is tried again soon.
  private static final long EJECTION_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final FailureDomain here;
  private final Map<String, String> regions;
  private final RunnerDirectory directory;
  private final RunnerLoads loads;
  private final ModelPresence presence;
  private final RunnerAvailability notices;
  private final RunnerChooser choice;
  private final OutlierDetector outliers = new OutlierDetector(EJECTION_NANOSECONDS);

  private final Map<String, Long> heardAt = new HashMap<>();

  /** What came of a selection. */
  sealed interface Selection {
    /** A runner was found. Immutable. */
    record Found(RunnerEntry runner, RunnerCandidate candidate) implements Selection {}

    /** Only runners that were tried before are left. */
    record OnlyTried() implements Selection {}

    /**
     * All runners that could take it want no requests for a while. Immutable.
     *
     * @param untilMilliseconds when the first takes them again, in monotonic milliseconds
     */
    record AllBackingOff(long untilMilliseconds) implements Selection {}

    /** Runners of the service exist, but none has the model. */
    record ModelAbsent() implements Selection {}

    /** No runner of the service takes work. */
    record NoRunner() implements Selection {}
  }

  RunnerSelector(
      FailureDomain here,
      Map<String, String> regions,
      RunnerDirectory directory,
      RunnerLoads loads,
      ModelPresence presence,
      RunnerAvailability notices,
      RunnerChooser choice) {
    this.here = here;
    this.regions = regions;
    this.directory = directory;
    this.loads = loads;
    this.presence = presence;
    this.notices = notices;
    this.choice = choice;
    directory.listen(this);
  }

  Selection select(
      String service, Optional<GenerationParameters> prompt, Set<String> tried, long now) {
    List<RunnerEntry> usable =
        directory.usable(service).stream().filter(entry -> !notices.isLeaving(entry)).toList();
    if (usable.isEmpty()) {
      return new Selection.NoRunner();
    }
    List<RunnerEntry> holding =
        usable.stream().filter(entry -> isAble(entry, prompt, now)).toList();
    if (holding.isEmpty()) {
      return new Selection.ModelAbsent();
    }
    List<RunnerEntry> able =
        holding.stream().filter(entry -> notices.backoffUntil(entry, now) <= now).toList();
    if (able.isEmpty()) {
      return new Selection.AllBackingOff(
          holding.stream().mapToLong(each -> notices.backoffUntil(each, now)).min().orElse(now));
    }
    List<RunnerEntry> healthy = outliers.admitted(able, RunnerEntry::id, System.nanoTime());
    List<RunnerEntry> fresh = without(healthy, tried);
    if (fresh.isEmpty()) {
      fresh = without(able, tried);
    }
    if (fresh.isEmpty()) {
      return new Selection.OnlyTried();
    }
    List<RunnerCandidate> candidates = new ArrayList<>(fresh.size());
    fresh.forEach(entry -> candidates.add(candidate(entry, prompt, now)));
    RunnerCandidate chosen = choice.choose(candidates).orElseThrow();
    return new Selection.Found(directory.entry(chosen.id()).orElseThrow(), chosen);
  }

  /** Returns whether a runner that was chosen before may still get work. */
  boolean isUsable(RunnerEntry runner) {
    long now = MonotonicClock.milliseconds();
    return directory
        .entry(runner.id())
        .filter(entry -> !entry.draining())
        .filter(entry -> entry.startTimeMilliseconds() == runner.startTimeMilliseconds())
        .filter(entry -> !notices.isLeaving(entry))
        .filter(entry -> notices.backoffUntil(entry, now) <= now)
        .isPresent();
  }

  /** A runner sent something. */
  void heard(String runner, long now) {
    heardAt.put(runner, now);
  }

  /** Returns how long a runner has sent nothing to this instance. */
  long silentMilliseconds(String runner) {
    return MonotonicClock.milliseconds() - heardAt.getOrDefault(runner, Long.MIN_VALUE / 2);
  }

  void succeeded(String runner) {
    outliers.succeeded(runner);
  }

  void failed(String runner) {
    outliers.failed(runner, System.nanoTime());
  }

  void unreachable(String runner) {
    outliers.unreachable(runner, System.nanoTime());
  }

  void began(String runner, long milliseconds) {
    outliers.firstPartReceived(
        runner, TimeUnit.MILLISECONDS.toNanos(milliseconds), System.nanoTime());
  }

  @Override
  public void runnerChanged(RunnerEntry entry, boolean newLife) {
    presence.entryChanged(entry, MonotonicClock.milliseconds());
    if (newLife) {
      presence.forget(entry.id());
      loads.clearCachedParts(entry.id());
      outliers.forget(entry.id());
    }
  }

  @Override
  public void runnerGone(String id) {
    presence.forget(id);
    notices.forget(id);
    heardAt.remove(id);
    outliers.forget(id);
  }

  private boolean isAble(RunnerEntry entry, Optional<GenerationParameters> prompt, long now) {
    return prompt.isEmpty() || presence.hasModel(entry, prompt.get().model(), now);
  }

  private static List<RunnerEntry> without(List<RunnerEntry> entries, Set<String> tried) {
    return entries.stream().filter(entry -> !tried.contains(entry.id())).toList();
  }

  private RunnerCandidate candidate(
      RunnerEntry entry, Optional<GenerationParameters> prompt, long now) {
    RunnerLoads.Load share = loads.total(entry.id(), now);
    boolean adapterPresent =
        prompt
            .flatMap(GenerationParameters::adapter)
            .map(name -> presence.hasAdapter(entry.id(), prompt.get().model(), name, now))
            .orElse(true);
    return new RunnerCandidate(
        entry.id(),
        distance(entry.failureDomain()),
        share.running(),
        entry.slots(),
        share.pendingPrefillTokens(),
        loads.millisecondsPerToken(entry.id()),
        prompt.isPresent() ? 0 : loads.millisecondsPerRequest(entry.id()),
        prompt.map(terms -> loads.uncachedTokens(entry.id(), terms)).orElse(0),
        adapterPresent);
  }

  private Distance distance(String failureDomain) {
    if (failureDomain.equals(here.name())) {
      return Distance.SAME_DOMAIN;
    }
    boolean sameRegion = here.region().equals(regions.get(failureDomain));
    return sameRegion ? Distance.SAME_REGION : Distance.OTHER_REGION;
  }
}
