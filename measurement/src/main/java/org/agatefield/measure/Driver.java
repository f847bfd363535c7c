package org.agatefield.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.agatefield.model.DemandSample;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Upstream;
import org.agatefield.placement.LedgerTransitions;
import org.agatefield.routing.HomeInstances;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs one scenario under one set of policies: steps the simulated runners and calls the daemon's
 * decision code. Deterministic for a seed. Confined to one thread.
 */
final class Driver {
  /** Lets the placement converge before demand changes and measurements start. */
  static final int WARM_UP_SECONDS = 60;

  static final double CONNECT_TIMEOUT_MILLISECONDS = 1_000;
  private static final long STEP_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);
  private static final int STEPS_PER_TICK = 4;
  private static final int STEPS_PER_SECOND = 200;
  private static final int REPORT_LAG_MILLISECONDS = 500;
  private static final int DETECTION_SECONDS = 3;
  private static final int DRAIN_SECONDS = 12;
  private static final int ORACLE_HORIZON_SECONDS = 10;
  private static final int PROMPT_BYTES_PER_TOKEN = 4;
  private static final int EVENT_BYTES = 180;

  final UserProfile profile;
  final ServiceTimes times;
  final Scenario scenario;
  final Variant variant;
  final EventQueue events = new EventQueue();
  final Measurement measurement = new Measurement();
  final Fleet fleet;
  private final List<Arrival> arrivals;
  private final List<EntryInstance> entries = new ArrayList<>();
  private final HomeInstances homes = new HomeInstances(10, 2);
  private final Map<String, List<EntryInstance>> homeCache = new HashMap<>();
  private final PlannerDriver planner;
  private long lastRequest;

  Driver(UserProfile profile, Scenario scenario, Variant variant, long seed) {
    this.profile = profile;
    this.times = ServiceTimes.standard();
    this.scenario = scenario;
    this.variant = variant;
    fleet = new Fleet(profile, times);
    arrivals = new DemandGenerator(profile, times, scenario, seed).arrivals();
    int instances = variant.isOracle() ? 1 : profile.entryDomains().size();
    for (int number = 0; number < instances; number++) {
      var random = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + number);
      entries.add(
          new EntryInstance(
              number,
              profile.entryDomains().get(number),
              fleet,
              fleet,
              variant.policies().apply(random),
              events::now));
    }
    planner =
        new PlannerDriver(
            fleet, events, times, measurement, variant.placement().get(), this::demand);
  }

  Measurement run() {
    planner.applyInitialPlacement();
    arrivals.forEach(
        arrival ->
            events.at(arrival.nanoseconds(), () -> new CallerRequest(this, arrival).start()));
    scheduleFailures();
    long steps = (long) (WARM_UP_SECONDS + scenario.seconds() + DRAIN_SECONDS) * STEPS_PER_SECOND;
    for (long step = 1; step <= steps; step++) {
      events.runUntil(step * STEP_NANOSECONDS);
      fleet.runners.values().forEach(runner -> runner.step(STEP_NANOSECONDS));
      if (step % STEPS_PER_TICK == 0) {
        tick();
      }
      if (step == (long) WARM_UP_SECONDS * STEPS_PER_SECOND) {
        measurement.begin(busyNanoseconds());
      }
      if (step % STEPS_PER_SECOND == 0) {
        runOncePerSecond();
      }
    }
    measurement.end(busyNanoseconds());
    return measurement;
  }

  private double busyNanoseconds() {
    return fleet.runners.values().stream().mapToDouble(Runner::busyNanoseconds).sum();
  }

  private void tick() {
    if (variant.isOracle()) {
      fleet.collectReports();
    }
    entries.stream().filter(entry -> !entry.unreachable).forEach(entry -> entry.dispatcher.tick());
  }

  private void runOncePerSecond() {
    if (!variant.isOracle()) {
      events.after(REPORT_LAG_MILLISECONDS, fleet::collectReports);
    }
    planner.plan();
  }

  private List<DemandSample> demand() {
    if (variant.isOracle()) {
      return futureDemand();
    }
    List<DemandSample> samples = new ArrayList<>();
    entries.stream()
        .filter(entry -> !entry.unreachable)
        .forEach(entry -> samples.addAll(entry.dispatcher.localDemand()));
    return samples;
  }

  private List<DemandSample> futureDemand() {
    Map<String, Integer> counts = new HashMap<>();
    long end = events.now() + TimeUnit.SECONDS.toNanos(ORACLE_HORIZON_SECONDS);
    for (Arrival arrival : arrivals) {
      if (arrival.nanoseconds() >= events.now() && arrival.nanoseconds() < end) {
        counts.merge(arrival.deployment(), 1, Integer::sum);
      }
    }
    List<DemandSample> samples = new ArrayList<>();
    counts.forEach(
        (model, count) -> {
          double rate = (double) count / ORACLE_HORIZON_SECONDS;
          double busy = rate / times.requestsPerSecondPerRunner();
          samples.add(new DemandSample(model, "all", rate, 0, busy));
        });
    return samples;
  }

  private void scheduleFailures() {
    switch (scenario) {
      case RUNNER_LOST -> crashRunner("runner-0", 40, 80);
      case DOMAIN_LOST -> disconnectDomain(profile.runnerDomains().get(1), 40, 90);
      case STORE_DOWN -> {
        atSecond(20, () -> planner.storeDown = true);
        atSecond(100, () -> planner.storeDown = false);
      }
      default -> {}
    }
  }

  private void crashRunner(String name, int from, int until) {
    atSecond(from, () -> fleet.runners.get(name).crash());
    atSecond(from + DETECTION_SECONDS, () -> fleet.setDetectedAlive(name, false));
    atSecond(until, () -> fleet.runners.get(name).restart());
    atSecond(until + DETECTION_SECONDS, () -> rejoin(name));
  }

  private void rejoin(String name) {
    fleet.ledgers.computeIfPresent(
        name, (ignored, ledger) -> LedgerTransitions.restarted(ledger, ledger.bootIdentifier()));
    fleet.setDetectedAlive(name, true);
  }

  private void disconnectDomain(FailureDomain domain, int from, int until) {
    for (Upstream upstream : fleet.current().upstreams()) {
      if (upstream.failureDomain().equals(domain)) {
        atSecond(from, () -> fleet.runners.get(upstream.name()).disconnect());
        atSecond(from + DETECTION_SECONDS, () -> fleet.setDetectedAlive(upstream.name(), false));
        atSecond(until, () -> fleet.runners.get(upstream.name()).restart());
        atSecond(until + DETECTION_SECONDS, () -> rejoin(upstream.name()));
      }
    }
    entries.stream()
        .filter(entry -> entry.self().failureDomain().equals(domain))
        .forEach(
            entry -> {
              atSecond(from, () -> entry.unreachable = true);
              atSecond(until, () -> entry.unreachable = false);
            });
  }

  private void atSecond(int second, Runnable action) {
    events.at(TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS + second), action);
  }

  /** Returns the home instance of a caller, or a later one in the ranking after failures. */
  EntryInstance entryFor(Arrival arrival, int failed) {
    List<EntryInstance> ranked =
        homeCache.computeIfAbsent(
            arrival.deployment() + "/" + arrival.region(),
            ignored -> ranked(arrival.deployment(), arrival.region()));
    int homesOfModel = Math.min(2, ranked.size());
    int position = (arrival.caller() % homesOfModel + failed) % ranked.size();
    return ranked.get(position);
  }

  private List<EntryInstance> ranked(String deployment, String region) {
    Map<String, EntryInstance> near = new HashMap<>();
    for (EntryInstance entry : entries) {
      if (entry.region().equals(region)) {
        near.put(entry.self().id(), entry);
      }
    }
    if (near.isEmpty()) {
      return entries;
    }
    return homes.ranked(deployment, near.keySet()).stream().map(near::get).toList();
  }

  double latencyMilliseconds(EntryInstance entry, Upstream upstream) {
    boolean sameRegion = entry.region().equals(upstream.failureDomain().region());
    return sameRegion ? profile.domainLatencyMilliseconds() : profile.regionLatencyMilliseconds();
  }

  long callerLatencyNanoseconds() {
    return (long) (profile.callerLatencyMilliseconds() * TimeUnit.MILLISECONDS.toNanos(1));
  }

  double linkBytes(Arrival arrival) {
    return (double) arrival.promptTokens() * PROMPT_BYTES_PER_TOKEN
        + (double) arrival.outputTokens() * EVENT_BYTES;
  }

  String nextRequestId() {
    lastRequest++;
    return Long.toString(lastRequest);
  }
}
