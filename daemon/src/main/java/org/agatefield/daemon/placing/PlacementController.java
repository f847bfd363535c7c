package org.agatefield.daemon.placing;

import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.FailPoint;
import org.agatefield.daemon.core.InvariantMonitor.Invariant;
import org.agatefield.engine.OrderResult;
import org.agatefield.lease.LeaseGrant;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.placement.DrainPolicy;
import org.agatefield.placement.LedgerAges;
import org.agatefield.placement.LedgerTransitions;
import org.agatefield.placement.LoadBudget;
import org.agatefield.placement.MoveKind;
import org.agatefield.placement.PlacementInput;
import org.agatefield.placement.PlacementPlanner;
import org.agatefield.placement.PlacementPolicy;
import org.agatefield.placement.PlannedMove;
import org.agatefield.placement.PlannedOrder;
import org.agatefield.placement.ReconciliationStep;
import org.agatefield.placement.ReplicaSize;
import org.agatefield.placement.RunnerLedger;
import org.agatefield.placement.RunnerObservation;
import org.agatefield.placement.RunnerReconciler;
import org.agatefield.placement.RunnerView;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Plans placements and sends orders to engines while this instance holds the planner's lease.
 *
 * <p>Invariants: a ledger is written before the order that depends on it is sent; a new planner
 * writes its token into every ledger before its first order, so that decisions of an earlier
 * planner based on older ledgers can no longer be written; at most one write or order is in flight
 * for each runner. All state is confined to one Vert.x context.
 */
public final class PlacementController implements AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(PlacementController.class);
  private static final long NO_LEASE = -1;

  private final PlacementContext placementContext;
  private final PlacementTimings timings;
  private final PlacementPlanner planner;
  private final RunnerReconciler steps;
  private final LedgerTable table;
  private final PlannerTakeover takeover;
  private final OrderSender sender;
  private final LoadReportPoller reports;
  private final LedgerAges ages = new LedgerAges();
  private final Map<String, RunnerState> runners = new HashMap<>();
  private Context context;
  private long timer;
  private long heldToken = NO_LEASE;
  private boolean takenOver;
  private boolean takingOver;
  private long takenOverAtNanoseconds;
  private LoadBudget budget = LoadBudget.startingAt(System.nanoTime());

  /** Creates a controller, which is inactive until {@link #start()} is called. */
  public PlacementController(
      PlacementContext placementContext, PlacementTimings timings, PlacementPolicy policy) {
    this.placementContext = placementContext;
    this.timings = timings;
    this.table = new LedgerTable(placementContext.store());
    this.takeover = new PlannerTakeover(table);
    this.sender = new OrderSender(placementContext, timings);
    this.reports = new LoadReportPoller(placementContext);
    this.steps = new RunnerReconciler(timings.orderQuarantine().toNanos());
    DrainPolicy drainRules =
        new DrainPolicy(timings.minimumDrain().toNanos(), timings.maximumDrain().toNanos());
    this.planner = new PlacementPlanner(policy, drainRules);
  }

  /** Starts the periodic planning rounds. */
  public PlacementController start() {
    context = placementContext.vertx().getOrCreateContext();
    timer =
        placementContext
            .vertx()
            .setPeriodic(
                timings.roundInterval().toMillis(),
                fired -> context.runOnContext(ignored -> round()));
    return this;
  }

  @Override
  public void close() {
    placementContext.vertx().cancelTimer(timer);
  }

  private void round() {
    Optional<LeaseGrant> grant = placementContext.currentGrant();
    if (grant.isEmpty()) {
      resetLease();
      return;
    }
    if (grant.get().fencingToken() != heldToken) {
      resetLease();
      heldToken = grant.get().fencingToken();
    }
    if (!takenOver) {
      takeOver();
      return;
    }
    List<Upstream> configured = modelRunners();
    configured.forEach(each -> reports.poll(each, state(each)));
    configured.forEach(this::advance);
    planMoves(configured);
  }

  private void resetLease() {
    if (heldToken != NO_LEASE) {
      LOGGER.info("planner lease ended token={}", heldToken);
    }
    heldToken = NO_LEASE;
    takenOver = false;
    table.clear();
    ages.clear();
    runners.clear();
  }

  private List<Upstream> modelRunners() {
    return placementContext.configuration().current().upstreams().stream()
        .filter(each -> each.kind() == UpstreamKind.MODEL_RUNNER)
        .toList();
  }

  private void takeOver() {
    if (takingOver) {
      return;
    }
    takingOver = true;
    long token = heldToken;
    List<Upstream> configured = modelRunners();
    takeover
        .run(configured, token)
        .whenComplete(
            (done, failure) ->
                context.runOnContext(ignored -> finishTakeOver(configured, token, failure)));
  }

  private void finishTakeOver(List<Upstream> configured, long token, Throwable failure) {
    takingOver = false;
    if (failure != null) {
      LOGGER.warn("planner not ready token={} cause={}", token, failure.toString());
      return;
    }
    if (token == heldToken) {
      takenOver = true;
      takenOverAtNanoseconds = System.nanoTime();
      LOGGER.info("planner ready token={} ledgers={}", token, configured.size());
    }
  }

  private RunnerState state(Upstream runner) {
    return runners.computeIfAbsent(runner.name(), created -> new RunnerState());
  }

  /** Starts the next step of a runner, unless a step is in progress. */
  private void advance(Upstream runner) {
    RunnerState state = state(runner);
    if (state.isBusy()) {
      return;
    }
    Optional<RunnerLedger> ledger = table.get(runner.name());
    if (!isReady(runner, ledger)) {
      renew(runner, state);
      return;
    }
    long now = System.nanoTime();
    ages.observe(ledger.get(), now);
    if (!state.isAlive(now, timings.reportLifetime().toNanos())) {
      return;
    }
    state
        .freshObservation()
        .flatMap(seen -> steps.next(ledger.get(), seen, runner.checksFencingTokens(), ages, now))
        .ifPresent(step -> take(runner, state, ledger.get(), step));
  }

  /**
   * Returns whether the ledger is known, matches the configuration and contains this lease's token.
   */
  private boolean isReady(Upstream runner, Optional<RunnerLedger> ledger) {
    return table.isCertain(runner.name())
        && ledger
            .filter(each -> each.memoryMegabytes() == runner.memoryMegabytes())
            .filter(each -> each.plannerToken() == heldToken)
            .isPresent();
  }

  /** Reads a runner's ledger again and writes the token and the configured memory into it. */
  private void renew(Upstream runner, RunnerState state) {
    state.begin();
    long token = heldToken;
    takeover
        .renew(runner, token)
        .whenComplete((done, failure) -> operationEnded(runner, state, failure));
  }

  private void take(
      Upstream runner, RunnerState state, RunnerLedger before, ReconciliationStep step) {
    state.begin();
    long token = heldToken;
    LOGGER.info("placement step upstream={} reason=\"{}\"", runner.name(), step.reason());
    if (step.releasesMemory()) {
      placementContext.hook().reached(FailPoint.BEFORE_RELEASE, runner.name());
    }
    CompletableFuture<Void> written =
        step.ledger().equals(before)
            ? CompletableFuture.completedFuture(null)
            : table.write(step.ledger());
    written
        .thenCompose(
            done ->
                step.order()
                    .map(order -> send(runner, state, order, token))
                    .orElseGet(() -> CompletableFuture.completedFuture(null)))
        .whenComplete((done, failure) -> operationEnded(runner, state, failure));
  }

  private CompletableFuture<Void> send(
      Upstream runner, RunnerState state, PlannedOrder order, long token) {
    long sentNanoseconds = System.nanoTime();
    return sender
        .send(runner, order, token)
        .handle(
            (result, failure) -> {
              context.runOnContext(
                  ignored -> orderEnded(runner, state, order, sentNanoseconds, result));
              return null;
            });
  }

  private void orderEnded(
      Upstream runner,
      RunnerState state,
      PlannedOrder order,
      long sentNanoseconds,
      OrderResult result) {
    state.orderEnded(System.nanoTime());
    placementContext
        .monitor()
        .check(
            Invariant.MEMORY,
            result != OrderResult.REFUSED_NO_MEMORY,
            () -> runner.name() + " lacked memory that its ledger had reserved: " + order);
    if (result == OrderResult.DONE && order.action() == PlannedOrder.Action.UNLOAD) {
      ages.recordUnload(runner.name(), order.version(), order.fencingToken(), sentNanoseconds);
    }
  }

  private void operationEnded(Upstream runner, RunnerState state, Throwable failure) {
    context.runOnContext(
        ignored -> {
          state.end();
          if (failure != null) {
            LOGGER.warn(
                "ledger not written upstream={} cause={}", runner.name(), failure.toString());
          }
        });
  }

  private void planMoves(List<Upstream> configured) {
    long now = System.nanoTime();
    if (!haveAllReported(configured, now)) {
      return;
    }
    budget = budget.refill(placementContext.configuration().current().weightStore(), now);
    Optional<PlacementInput> input = input(configured, now);
    if (input.isEmpty()) {
      return;
    }
    List<PlannedMove> moves = planner.plan(input.get());
    for (PlannedMove move : moves) {
      executeMove(move, input.get(), moves.size());
    }
  }

  /**
   * Returns whether every runner has reported, or has had enough time to report since the takeover.
   */
  private boolean haveAllReported(List<Upstream> configured, long now) {
    long lifetime = timings.reportLifetime().toNanos();
    return now - takenOverAtNanoseconds > lifetime
        || configured.stream().allMatch(each -> state(each).isAlive(now, lifetime));
  }

  /** Returns the planner's input; empty if a ledger is unknown or not taken over. */
  private Optional<PlacementInput> input(List<Upstream> configured, long now) {
    List<RunnerView> views = new ArrayList<>();
    for (Upstream runner : configured) {
      RunnerState state = state(runner);
      Optional<RunnerLedger> ledger = table.get(runner.name());
      if (ledger.filter(each -> each.plannerToken() == heldToken).isEmpty()) {
        return Optional.empty();
      }
      boolean available =
          state.isAlive(now, timings.reportLifetime().toNanos())
              && !placementContext.instances().leavingUpstreams().contains(runner.name());
      Optional<LoadReport> report = state.observation().map(RunnerObservation::report);
      views.add(new RunnerView(runner, ledger.get(), report, available));
    }
    return Optional.of(
        new PlacementInput(
            placementContext.configuration().current(),
            views,
            placementContext.demand().totalDemand(),
            ages,
            budget.available(),
            now));
  }

  private void executeMove(PlannedMove move, PlacementInput input, int candidates) {
    Upstream runner = input.configuration().upstream(move.upstream()).orElseThrow();
    RunnerState state = state(runner);
    Optional<RunnerLedger> ledger = table.get(runner.name());
    boolean settled = ledger.filter(LedgerTransitions::isSettled).isPresent();
    if (state.isBusy() || !settled || !table.isCertain(runner.name())) {
      return;
    }
    LOGGER.info(
        "placement move={} version={} upstream={} moves={} runners={} reason=\"{}\"",
        move.kind(),
        move.version(),
        move.upstream(),
        candidates,
        input.runners().size(),
        move.reason());
    placementContext.metrics().counter("agatefield.placement.moves." + move.kind()).inc();
    RunnerLedger next =
        move.applyTo(ledger.get(), ReplicaSize.of(input.configuration(), move.version()));
    state.begin();
    if (move.kind() == MoveKind.LOAD) {
      budget = budget.take();
    }
    table
        .write(next)
        .thenRun(() -> memoryReserved(move))
        .whenComplete((done, failure) -> operationEnded(runner, state, failure));
  }

  private void memoryReserved(PlannedMove move) {
    if (move.kind() == MoveKind.LOAD) {
      placementContext.hook().reached(FailPoint.AFTER_RESERVATION, move.upstream());
    }
  }
}
