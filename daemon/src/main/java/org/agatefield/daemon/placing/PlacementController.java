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
 * Plans placements and orders engines, while this instance holds the planner's lease.
 *
 * <p>Invariants: a ledger is written before the order that it allows is sent; a new planner writes
 * its token into every ledger before its first order, so that whatever an earlier planner decided
 * on older ledgers can no longer be written; one write or order runs for a runner at a time. All
 * state is confined to one Vert.x context.
 */
public final class PlacementController implements AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(PlacementController.class);
  private static final long NO_LEASE = -1;

  private final PlacementContext parts;
  private final PlacementTimings terms;
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

  /** Creates a duty; {@link #start()} starts it. */
  public PlacementController(
      PlacementContext parts, PlacementTimings terms, PlacementPolicy policy) {
    this.parts = parts;
    this.terms = terms;
    this.table = new LedgerTable(parts.store());
    this.takeover = new PlannerTakeover(table);
    this.sender = new OrderSender(parts, terms);
    this.reports = new LoadReportPoller(parts);
    this.steps = new RunnerReconciler(terms.orderQuarantine().toNanos());
    DrainPolicy drainRules =
        new DrainPolicy(terms.minimumDrain().toNanos(), terms.maximumDrain().toNanos());
    this.planner = new PlacementPlanner(policy, drainRules);
  }

  /** Starts the rounds. */
  public PlacementController start() {
    context = parts.vertx().getOrCreateContext();
    timer =
        parts
            .vertx()
            .setPeriodic(
                terms.roundInterval().toMillis(),
                fired -> context.runOnContext(ignored -> round()));
    return this;
  }

  @Override
  public void close() {
    parts.vertx().cancelTimer(timer);
  }

  private void round() {
    Optional<LeaseGrant> grant = parts.lease().currentGrant();
    if (grant.isEmpty()) {
      forgetLease();
      return;
    }
    if (grant.get().fencingToken() != heldToken) {
      forgetLease();
      heldToken = grant.get().fencingToken();
    }
    if (!takenOver) {
      takeOver();
      return;
    }
    List<Upstream> configured = modelRunners();
    configured.forEach(each -> reports.poll(each, state(each)));
    configured.forEach(this::advance);
    decide(configured);
  }

  private void forgetLease() {
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
    return parts.configuration().current().upstreams().stream()
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

  /** Takes the next step of a runner, unless one is being taken. */
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
    if (!state.isAlive(now, terms.reportLifetime().toNanos())) {
      return;
    }
    state
        .evidence()
        .flatMap(seen -> steps.next(ledger.get(), seen, runner.checksFencingTokens(), ages, now))
        .ifPresent(step -> take(runner, state, ledger.get(), step));
  }

  /** Returns whether the ledger is known, fits the configuration and carries this lease's token. */
  private boolean isReady(Upstream runner, Optional<RunnerLedger> ledger) {
    return table.isCertain(runner.name())
        && ledger
            .filter(each -> each.memoryMegabytes() == runner.memoryMegabytes())
            .filter(each -> each.plannerToken() == heldToken)
            .isPresent();
  }

  /** Reads a ledger that is not known, or writes one that does not fit the configuration. */
  private void renew(Upstream runner, RunnerState state) {
    state.begin();
    long token = heldToken;
    takeover.renew(runner, token).whenComplete((done, failure) -> ended(runner, state, failure));
  }

  private void take(
      Upstream runner, RunnerState state, RunnerLedger before, ReconciliationStep step) {
    state.begin();
    long token = heldToken;
    LOGGER.info("placement step upstream={} reason=\"{}\"", runner.name(), step.reason());
    if (step.releasesMemory()) {
      parts.hook().reached(FailPoint.BEFORE_RELEASE, runner.name());
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
        .whenComplete((done, failure) -> ended(runner, state, failure));
  }

  private CompletableFuture<Void> send(
      Upstream runner, RunnerState state, PlannedOrder order, long token) {
    long sentAt = System.nanoTime();
    return sender
        .send(runner, order, token)
        .handle(
            (result, failure) -> {
              context.runOnContext(ignored -> orderEnded(runner, state, order, sentAt, result));
              return null;
            });
  }

  private void orderEnded(
      Upstream runner, RunnerState state, PlannedOrder order, long sentAt, OrderResult result) {
    state.orderEnded(System.nanoTime());
    parts
        .monitor()
        .check(
            Invariant.MEMORY,
            result != OrderResult.REFUSED_NO_MEMORY,
            () -> runner.name() + " had no memory for what its ledger reserved: " + order);
    if (result == OrderResult.DONE && order.action() == PlannedOrder.Action.UNLOAD) {
      ages.recordUnload(runner.name(), order.version(), order.fencingToken(), sentAt);
    }
  }

  private void ended(Upstream runner, RunnerState state, Throwable failure) {
    context.runOnContext(
        ignored -> {
          state.end();
          if (failure != null) {
            LOGGER.warn(
                "ledger not written upstream={} cause={}", runner.name(), failure.toString());
          }
        });
  }

  private void decide(List<Upstream> configured) {
    long now = System.nanoTime();
    if (!hasHeardOf(configured, now)) {
      return;
    }
    budget = budget.refill(parts.configuration().current().weightStore(), now);
    Optional<PlacementInput> input = input(configured, now);
    if (input.isEmpty()) {
      return;
    }
    List<PlannedMove> moves = planner.plan(input.get());
    for (PlannedMove move : moves) {
      perform(move, input.get(), moves.size());
    }
  }

  /** Returns whether every runner has reported, or has had the time to since the takeover. */
  private boolean hasHeardOf(List<Upstream> configured, long now) {
    long lifetime = terms.reportLifetime().toNanos();
    return now - takenOverAtNanoseconds > lifetime
        || configured.stream().allMatch(each -> state(each).isAlive(now, lifetime));
  }

  /** Returns what to decide on, unless a ledger is not known or not taken over. */
  private Optional<PlacementInput> input(List<Upstream> configured, long now) {
    List<RunnerView> views = new ArrayList<>();
    for (Upstream runner : configured) {
      RunnerState state = state(runner);
      Optional<RunnerLedger> ledger = table.get(runner.name());
      if (ledger.filter(each -> each.plannerToken() == heldToken).isEmpty()) {
        return Optional.empty();
      }
      boolean available =
          state.isAlive(now, terms.reportLifetime().toNanos())
              && !parts.instances().leavingUpstreams().contains(runner.name());
      Optional<LoadReport> report = state.observation().map(RunnerObservation::report);
      views.add(new RunnerView(runner, ledger.get(), report, available));
    }
    return Optional.of(
        new PlacementInput(
            parts.configuration().current(),
            views,
            parts.demand().totalDemand(),
            ages,
            budget.available(),
            now));
  }

  private void perform(PlannedMove move, PlacementInput input, int candidates) {
    Upstream runner = input.configuration().upstream(move.upstream()).orElseThrow();
    RunnerState state = state(runner);
    Optional<RunnerLedger> ledger = table.get(runner.name());
    if (state.isBusy() || ledger.isEmpty() || !table.isCertain(runner.name())) {
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
    parts.metrics().counter("agatefield.placement.moves." + move.kind()).inc();
    RunnerLedger next =
        move.applyTo(ledger.get(), ReplicaSize.of(input.configuration(), move.version()));
    state.begin();
    if (move.kind() == MoveKind.LOAD) {
      budget = budget.take();
    }
    table
        .write(next)
        .thenRun(() -> reserved(move))
        .whenComplete((done, failure) -> ended(runner, state, failure));
  }

  private void reserved(PlannedMove move) {
    if (move.kind() == MoveKind.LOAD) {
      parts.hook().reached(FailPoint.AFTER_RESERVATION, move.upstream());
    }
  }
}
