package org.agatefield.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.agatefield.model.DemandSample;
import org.agatefield.model.Upstream;
import org.agatefield.model.VersionId;
import org.agatefield.placement.DrainPolicy;
import org.agatefield.placement.LedgerAges;
import org.agatefield.placement.LedgerEntry;
import org.agatefield.placement.LedgerState;
import org.agatefield.placement.LedgerTransitions;
import org.agatefield.placement.LoadBudget;
import org.agatefield.placement.MoveKind;
import org.agatefield.placement.PlacementInput;
import org.agatefield.placement.PlacementPlanner;
import org.agatefield.placement.PlacementPolicy;
import org.agatefield.placement.PlannedMove;
import org.agatefield.placement.ReplicaSize;
import org.agatefield.placement.RunnerLedger;
import org.agatefield.placement.RunnerView;
import org.agatefield.placement.StaticPlacement;

/** Plans the placement periodically and executes the moves at the speed of the weight store. */
final class PlannerDriver {
  private static final long DRAIN_MINIMUM_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);
  private static final long DRAIN_MAXIMUM_NANOSECONDS = TimeUnit.SECONDS.toNanos(30);
  private static final double UNLOAD_MILLISECONDS = 100;
  private static final int MAXIMUM_INITIAL_ROUNDS = 500;

  private final Fleet fleet;
  private final EventQueue events;
  private final ServiceTimes times;
  private final Measurement measurement;
  private final Supplier<List<DemandSample>> demand;
  private final PlacementPlanner planner;
  private final LedgerAges ages = new LedgerAges();
  private LoadBudget budget = LoadBudget.startingAt(0);
  private int loading;
  boolean storeDown;

  PlannerDriver(
      Fleet fleet,
      EventQueue events,
      ServiceTimes times,
      Measurement measurement,
      PlacementPolicy policy,
      Supplier<List<DemandSample>> demand) {
    this.fleet = fleet;
    this.events = events;
    this.times = times;
    this.measurement = measurement;
    this.demand = demand;
    planner = planner(policy);
  }

  private static PlacementPlanner planner(PlacementPolicy policy) {
    return new PlacementPlanner(
        policy, new DrainPolicy(DRAIN_MINIMUM_NANOSECONDS, DRAIN_MAXIMUM_NANOSECONDS));
  }

  /** Places every version before the run without counting moves or load time. */
  void applyInitialPlacement() {
    PlacementPlanner initial = planner(new StaticPlacement());
    for (int round = 0; round < MAXIMUM_INITIAL_ROUNDS; round++) {
      List<PlannedMove> moves = initial.plan(input(List.of(), Integer.MAX_VALUE));
      if (moves.isEmpty()) {
        fleet.publishReplicas();
        return;
      }
      for (PlannedMove move : moves) {
        change(move);
        if (move.kind() == MoveKind.LOAD) {
          update(move.upstream(), ledger -> LedgerTransitions.loaded(ledger, move.version()));
        } else if (move.kind() == MoveKind.UNLOAD) {
          release(move.upstream(), move.version());
        }
      }
    }
    throw new IllegalStateException("the initial placement does not converge");
  }

  void plan() {
    if (storeDown) {
      return;
    }
    budget = budget.refill(fleet.current().weightStore(), events.now());
    fleet.ledgers.values().forEach(ledger -> ages.observe(ledger, events.now()));
    reloadLostVersions();
    for (PlannedMove move : planner.plan(input(demand.get(), budget.available()))) {
      execute(move);
    }
    fleet.publishReplicas();
  }

  private PlacementInput input(List<DemandSample> samples, int allowance) {
    List<RunnerView> views = new ArrayList<>();
    for (Upstream upstream : fleet.current().upstreams()) {
      Runner runner = fleet.runners.get(upstream.name());
      RunnerLedger ledger = fleet.ledgers.get(upstream.name());
      boolean available = fleet.isDetectedAlive(upstream.name());
      views.add(new RunnerView(upstream, ledger, Optional.of(fleet.report(runner)), available));
    }
    return new PlacementInput(fleet.current(), views, samples, ages, allowance, events.now());
  }

  private void execute(PlannedMove move) {
    change(move);
    if (move.kind() == MoveKind.LOAD) {
      budget = budget.take();
      measurement.moves++;
      startLoad(move.upstream(), move.version());
    } else if (move.kind() == MoveKind.UNLOAD) {
      events.after(UNLOAD_MILLISECONDS, () -> release(move.upstream(), move.version()));
    }
  }

  private void change(PlannedMove move) {
    ReplicaSize size = ReplicaSize.of(fleet.current(), move.version());
    update(move.upstream(), ledger -> move.applyTo(ledger, size));
  }

  /** Starts a load; it slows down in proportion to the loads above the full-speed limit. */
  private void startLoad(String upstream, VersionId version) {
    loading++;
    double slots = fleet.current().weightStore().concurrentLoads();
    double slowdown = Math.max(1, loading / slots);
    String boot = fleet.runners.get(upstream).bootIdentifier();
    events.after(
        times.weightLoadSeconds() * slowdown * 1_000,
        () -> {
          loading--;
          if (fleet.runners.get(upstream).bootIdentifier().equals(boot)) {
            finishLoad(upstream, version);
          }
        });
  }

  private void finishLoad(String upstream, VersionId version) {
    RunnerLedger ledger = fleet.ledgers.get(upstream);
    boolean expected =
        ledger.entry(version).map(entry -> entry.state() == LedgerState.LOADING).orElse(false);
    if (expected) {
      update(upstream, found -> LedgerTransitions.loaded(found, version));
      fleet.publishReplicas();
    }
  }

  private void release(String upstream, VersionId version) {
    update(
        upstream,
        ledger -> LedgerTransitions.forget(LedgerTransitions.release(ledger, version), version));
    fleet.publishReplicas();
  }

  /** Reloads the versions that runners lost in a restart, at the speed of the weight store. */
  private void reloadLostVersions() {
    for (Map.Entry<String, RunnerLedger> each : List.copyOf(fleet.ledgers.entrySet())) {
      Runner runner = fleet.runners.get(each.getKey());
      boolean answers = fleet.isDetectedAlive(runner.name);
      if (!answers || each.getValue().bootIdentifier().equals(runner.bootIdentifier())) {
        continue;
      }
      boolean first = each.getValue().bootIdentifier().isEmpty();
      RunnerLedger ledger =
          first ? withBoot(each.getValue(), runner) : restarted(each.getValue(), runner);
      fleet.ledgers.put(runner.name, ledger);
      if (!first) {
        ledger.entries().stream()
            .filter(entry -> entry.state() == LedgerState.LOADING)
            .map(LedgerEntry::version)
            .forEach(version -> reload(runner.name, version));
      }
    }
  }

  private void reload(String upstream, VersionId version) {
    measurement.moves++;
    startLoad(upstream, version);
  }

  private static RunnerLedger restarted(RunnerLedger ledger, Runner runner) {
    return LedgerTransitions.restarted(ledger, runner.bootIdentifier());
  }

  private static RunnerLedger withBoot(RunnerLedger ledger, Runner runner) {
    return new RunnerLedger(
        ledger.upstream(),
        ledger.memoryMegabytes(),
        ledger.plannerToken(),
        ledger.highestToken(),
        runner.bootIdentifier(),
        ledger.entries());
  }

  private void update(String upstream, UnaryOperator<RunnerLedger> change) {
    fleet.ledgers.put(upstream, change.apply(fleet.ledgers.get(upstream)));
  }
}
