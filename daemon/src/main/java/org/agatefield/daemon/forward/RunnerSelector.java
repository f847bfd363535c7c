package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.agatefield.cost.TokenRoom.Room;
import org.agatefield.forwarding.GenerationParameters;
import org.agatefield.forwarding.RequestWork;
import org.agatefield.forwarding.RunnerCandidate;
import org.agatefield.forwarding.RunnerCandidate.Distance;
import org.agatefield.forwarding.RunnerChooser;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.forwarding.RunnerEstimates;
import org.agatefield.model.FailureDomain;
import org.agatefield.routing.OutlierDetector;

/**
 * Selects the runner for a request by directory entries, load, health and model presence.
 *
 * <p>Confined to one event loop.
 */
final class RunnerSelector implements RunnerDirectory.Listener {
  // Half the drain limit, so that a recovered runner is soon tried again.
  private static final long EJECTION_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final FailureDomain localDomain;
  private final Map<String, String> regions;
  private final RunnerDirectory directory;
  private final RunnerEstimates estimates;
  private final ToLongFunction<String> cacheTokens;
  private final ModelPresence presence;
  private final RunnerAvailability availability;
  private final RunnerPermits permits;
  private final RunnerChooser choice;
  private final OutlierDetector outliers = new OutlierDetector(EJECTION_NANOSECONDS);

  private final Map<String, Long> lastDataAt = new HashMap<>();

  /** The result of a selection. */
  sealed interface Selection {
    /**
     * A runner was selected. Immutable.
     *
     * @param limitedAlternative a runner with a limit, if one is suitable and the selected runner
     *     has none; its permits are kept for requests that no other runner can start in time
     */
    record Found(RunnerEntry runner, RunnerCandidate candidate, Optional<Found> limitedAlternative)
        implements Selection {}

    /** Only runners that this request has already tried are left. */
    record OnlyTried() implements Selection {}

    /**
     * All suitable runners have asked for a backoff. Immutable.
     *
     * @param untilMilliseconds when the first runner accepts requests again, in monotonic
     *     milliseconds
     */
    record AllBackingOff(long untilMilliseconds) implements Selection {}

    /**
     * All suitable runners limit the rate of requests, or have asked for a backoff, and the first
     * that will accept one is limited. Immutable.
     *
     * @param untilMilliseconds when the first permit may be available, in monotonic milliseconds
     * @param permitsPerSecond the rate at which this instance can expect permits
     */
    record AllLimited(long untilMilliseconds, double permitsPerSecond) implements Selection {}

    /** The service has runners, but none has the model. */
    record ModelAbsent() implements Selection {}

    /** No runner of the service accepts requests. */
    record NoRunner() implements Selection {}
  }

  /**
   * Creates a selector.
   *
   * @param cacheTokens returns the token memory of each runner of a service; 0 if it has none
   */
  RunnerSelector(
      FailureDomain localDomain,
      Map<String, String> regions,
      RunnerDirectory directory,
      RunnerEstimates estimates,
      ToLongFunction<String> cacheTokens,
      ModelPresence presence,
      RunnerAvailability availability,
      RunnerPermits permits,
      RunnerChooser choice) {
    this.localDomain = localDomain;
    this.regions = regions;
    this.directory = directory;
    this.estimates = estimates;
    this.cacheTokens = cacheTokens;
    this.presence = presence;
    this.availability = availability;
    this.permits = permits;
    this.choice = choice;
    directory.listen(this);
  }

  Selection select(String service, RequestWork work, Set<String> tried, long now) {
    Optional<GenerationParameters> prompt = work.prompt();
    List<RunnerEntry> usable =
        directory.usable(service).stream().filter(entry -> !availability.isLeaving(entry)).toList();
    if (usable.isEmpty()) {
      return new Selection.NoRunner();
    }
    List<RunnerEntry> withModel =
        usable.stream().filter(entry -> servesPrompt(entry, prompt, now)).toList();
    if (withModel.isEmpty()) {
      return new Selection.ModelAbsent();
    }
    List<RunnerEntry> available =
        withModel.stream().filter(entry -> availableAt(entry, now) <= now).toList();
    if (available.isEmpty()) {
      return noneAvailable(withModel, now);
    }
    List<RunnerEntry> healthy = outliers.admitted(available, RunnerEntry::id, System.nanoTime());
    List<RunnerEntry> untried = without(healthy, tried);
    if (untried.isEmpty()) {
      untried = without(available, tried);
    }
    if (untried.isEmpty()) {
      return new Selection.OnlyTried();
    }
    // Requests of a plain service can go to any of its runners, so no permits are spared for
    // others.
    Map<Boolean, List<RunnerEntry>> spared =
        untried.stream()
            .collect(
                Collectors.partitioningBy(
                    entry -> prompt.isPresent() && permits.shouldSpare(entry, now)));
    Optional<Selection.Found> limited = choose(spared.get(true), Optional.empty(), work, now);
    return choose(spared.get(false), limited, work, now).or(() -> limited).orElseThrow();
  }

  private Optional<Selection.Found> choose(
      List<RunnerEntry> entries,
      Optional<Selection.Found> limitedAlternative,
      RequestWork work,
      long now) {
    List<RunnerCandidate> candidates = new ArrayList<>(entries.size());
    List<RunnerCandidate> withRoom = new ArrayList<>(entries.size());
    for (RunnerEntry entry : entries) {
      RunnerCandidate candidate = estimates.candidate(place(entry, work, now), work, now);
      candidates.add(candidate);
      if (candidate.outlook().room() == Room.FREE) {
        withRoom.add(candidate);
      }
    }
    return choice
        .choose(withRoom.isEmpty() ? candidates : withRoom)
        .map(
            chosen ->
                new Selection.Found(
                    directory.entry(chosen.id()).orElseThrow(), chosen, limitedAlternative));
  }

  /** Returns when a runner accepts a request of this instance, in monotonic milliseconds. */
  private long availableAt(RunnerEntry entry, long now) {
    return Math.max(availability.backoffUntil(entry, now), permits.exhaustedUntil(entry, now));
  }

  private Selection noneAvailable(List<RunnerEntry> unavailable, long now) {
    RunnerEntry first =
        unavailable.stream()
            .min(Comparator.comparingLong(entry -> availableAt(entry, now)))
            .orElseThrow();
    long until = availableAt(first, now);
    if (permits.exhaustedUntil(first, now) <= now) {
      return new Selection.AllBackingOff(until);
    }
    return new Selection.AllLimited(
        until, unavailable.stream().mapToDouble(permits::expectedPerSecond).sum());
  }

  /**
   * Returns whether all runners of a service but one at most have crashed and not come back yet;
   * false for a service with one runner.
   *
   * @param hasCrashed whether the process of an entry has crashed
   */
  boolean isLastRunnerLeft(String service, Predicate<RunnerEntry> hasCrashed) {
    List<RunnerEntry> usable = directory.usable(service);
    return usable.size() > 1 && usable.stream().filter(hasCrashed.negate()).limit(2).count() <= 1;
  }

  /**
   * Returns whether the process of a runner that was selected earlier has announced its end since,
   * by its state, in an answer, or by taking its entry away.
   */
  boolean isLeaving(RunnerEntry runner) {
    return directory
        .entry(runner.id())
        .map(
            entry ->
                entry.startTimeMilliseconds() == runner.startTimeMilliseconds()
                    && (entry.draining() || availability.isLeaving(entry)))
        .orElse(true);
  }

  /** Returns whether a runner that was selected earlier still accepts requests. */
  boolean isUsable(RunnerEntry runner) {
    long now = MonotonicClock.milliseconds();
    return directory
        .entry(runner.id())
        .filter(entry -> !entry.draining())
        .filter(entry -> entry.startTimeMilliseconds() == runner.startTimeMilliseconds())
        .filter(entry -> !availability.isLeaving(entry))
        .filter(entry -> availability.backoffUntil(entry, now) <= now)
        .isPresent();
  }

  /** Records that a runner sent data. */
  void dataReceived(String runner, long now) {
    lastDataAt.put(runner, now);
  }

  /** Returns the time since a runner last sent data to this instance. */
  long silentMilliseconds(String runner) {
    return MonotonicClock.milliseconds() - lastDataAt.getOrDefault(runner, Long.MIN_VALUE / 2);
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

  void responseStarted(String runner, long milliseconds) {
    outliers.firstPartReceived(
        runner, TimeUnit.MILLISECONDS.toNanos(milliseconds), System.nanoTime());
  }

  @Override
  public void runnerChanged(RunnerEntry entry, boolean newProcess) {
    presence.entryChanged(entry, MonotonicClock.milliseconds());
    if (newProcess) {
      presence.forget(entry.id());
      estimates.processEnded(entry.id());
      outliers.forget(entry.id());
    }
  }

  @Override
  public void runnerGone(String id) {
    presence.forget(id);
    availability.forget(id);
    permits.runnerGone(id);
    lastDataAt.remove(id);
    estimates.processEnded(id);
    outliers.forget(id);
  }

  private boolean servesPrompt(RunnerEntry entry, Optional<GenerationParameters> prompt, long now) {
    return prompt.isEmpty() || presence.hasModel(entry, prompt.get().model(), now);
  }

  private static List<RunnerEntry> without(List<RunnerEntry> entries, Set<String> tried) {
    return entries.stream().filter(entry -> !tried.contains(entry.id())).toList();
  }

  /** Returns what the estimates need to know of a runner. */
  RunnerEstimates.Place place(RunnerEntry entry, RequestWork work, long now) {
    boolean adapterPresent =
        work.prompt()
            .flatMap(GenerationParameters::adapter)
            .map(name -> presence.hasAdapter(entry.id(), work.paceKey(), name, now))
            .orElse(true);
    return new RunnerEstimates.Place(
        entry.id(),
        distance(entry.failureDomain()),
        entry.slots(),
        cacheTokens.applyAsLong(entry.service()),
        adapterPresent);
  }

  /** Returns whether the way to a runner takes no considerable part of a response time. */
  boolean isNear(RunnerEntry entry) {
    return distance(entry.failureDomain()) != Distance.OTHER_REGION;
  }

  private Distance distance(String failureDomain) {
    if (failureDomain.equals(localDomain.name())) {
      return Distance.SAME_DOMAIN;
    }
    boolean sameRegion = localDomain.region().equals(regions.get(failureDomain));
    return sameRegion ? Distance.SAME_REGION : Distance.OTHER_REGION;
  }
}
