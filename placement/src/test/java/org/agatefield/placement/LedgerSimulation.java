package org.agatefield.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.DemandSample;
import org.agatefield.model.VersionId;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates planners, a store, engines and a network; a seed determines their interleaving.
 *
 * <p>Orders are lost, duplicated and delayed; responses are lost; planners are paused between any
 * two actions, also between the check of the lease and the send; the lease changes its holder;
 * engines restart; instances with outdated ledgers load adapters; configurations change. An engine
 * that ignores tokens executes an order within the quarantine after the check of the lease; one
 * that checks them, at any time. Confined to one thread.
 */
final class LedgerSimulation {
  static final long QUARANTINE = 300;
  private static final long ENGINE_MEGABYTES = 48;
  private static final int PAUSE = 600;
  private static final long ORDER_TIMEOUT = 30;
  private static final int PLANNERS = 3;
  private static final int ACTIONS = 4_000;

  /** An order in transit. */
  private record Message(
      SimulatedEngine engine,
      SimulatedPlanner from,
      SimulatedPlanner.PendingOrder pending,
      int boots,
      long earliest,
      long deadline) {}

  /** A ledger as an instance once read it. */
  private record OutdatedView(RunnerLedger ledger, long readAt) {}

  private final UniformRandomProvider random;
  private final Set<Mechanism> off;
  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final List<SimulatedPlanner> planners = new ArrayList<>();
  private final Map<String, SimulatedPlanner.Copy> store = new HashMap<>();
  private final List<Message> network = new ArrayList<>();
  private final Deque<OutdatedView> views = new ArrayDeque<>();
  private final Set<VersionId> resident = new HashSet<>();
  private final Set<VersionId> wanted = new HashSet<>();
  private final List<String> lost = new ArrayList<>();
  private final boolean engineFailures;
  private ConfigurationDocument configuration;
  private int holder;
  private long leaseToken = 1;
  private long now;
  private long moves;
  private long releases;
  private long lateLoads;

  LedgerSimulation(long seed, Set<Mechanism> off, boolean engineFailures) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.off = off.isEmpty() ? EnumSet.noneOf(Mechanism.class) : EnumSet.copyOf(off);
    this.engineFailures = engineFailures;
    for (int i = 0; i < 3; i++) {
      engines.add(new SimulatedEngine("r" + i, ENGINE_MEGABYTES, i % 2 == 0));
    }
    for (int i = 0; i < PLANNERS; i++) {
      planners.add(new SimulatedPlanner(i));
    }
    planners.get(0).acquireLease(leaseToken);
    changeConfiguration();
  }

  /** Runs all actions and returns this simulation. */
  LedgerSimulation run() {
    for (int i = 0; i < ACTIONS; i++) {
      now++;
      act(random.nextInt(1_000));
      deliverOverdue();
      checkResidence();
    }
    return this;
  }

  List<String> overcommits() {
    return engines.stream().flatMap(each -> each.overcommits.stream()).toList();
  }

  List<String> lostVersions() {
    return lost;
  }

  long moves() {
    return moves;
  }

  long releases() {
    return releases;
  }

  /** Returns how many load orders arrived when the ledger no longer had an entry in use. */
  long lateLoads() {
    return lateLoads;
  }

  private void act(int choice) {
    SimulatedPlanner planner =
        planners.get(random.nextInt(4) > 0 ? holder : random.nextInt(PLANNERS));
    SimulatedEngine engine = engines.get(random.nextInt(engines.size()));
    if (choice < 5) {
      moveLease();
    } else if (choice < 12) {
      changeConfiguration();
    } else if (choice < 18 && engineFailures) {
      failEngine(engine);
    } else if (choice < 90) {
      loadAdapterFromOutdatedView();
    } else if (choice < 250) {
      observe(planner, engine);
    } else if (choice < 350) {
      decide(planner);
    } else if (choice < 800) {
      advance(planner, engine);
    } else {
      deliverAny();
    }
  }

  private void changeConfiguration() {
    configuration = TestConfigurations.random(random, engines);
    wanted.clear();
    DesiredVersion.of(configuration).forEach(each -> wanted.add(each.version()));
    resident.retainAll(wanted);
  }

  private void moveLease() {
    planners.get(holder).pausedUntil = now + random.nextInt(2) * random.nextInt(PAUSE);
    holder = random.nextInt(PLANNERS);
    planners.get(holder).pausedUntil = 0;
    leaseToken++;
    planners.get(holder).acquireLease(leaseToken);
  }

  private void failEngine(SimulatedEngine engine) {
    if (engine.isUp()) {
      engine.stop();
      network.removeIf(each -> each.engine() == engine);
      resident.clear();
    } else {
      engine.start();
    }
  }

  /** Loads an adapter by a ledger that is outdated by less than the quarantine. */
  private void loadAdapterFromOutdatedView() {
    views.removeIf(each -> now - each.readAt() >= QUARANTINE);
    List<OutdatedView> known = List.copyOf(views);
    if (known.isEmpty()) {
      return;
    }
    RunnerLedger ledger = known.get(random.nextInt(known.size())).ledger();
    for (LedgerEntry entry : ledger.entries()) {
      List<AdapterReservation> adapters = loadableAdapters(entry);
      if (entry.isLoaded() && !adapters.isEmpty()) {
        AdapterReservation adapter = adapters.get(random.nextInt(adapters.size()));
        engine(ledger.upstream()).loadAdapter(entry.version(), adapter, now);
      }
    }
  }

  private List<AdapterReservation> loadableAdapters(LedgerEntry entry) {
    return off.contains(Mechanism.ADAPTERS_RESERVED)
        ? ReplicaSize.of(configuration, entry.version()).adapters()
        : entry.adapters();
  }

  private void observe(SimulatedPlanner planner, SimulatedEngine engine) {
    if (engine.isUp()) {
      planner.observations.put(engine.name, new RunnerObservation(engine.report(now), now));
    } else {
      planner.observations.remove(engine.name);
    }
  }

  private boolean holdsLease(SimulatedPlanner planner) {
    return planners.get(holder) == planner && planner.token == leaseToken;
  }

  private void takeOver(SimulatedPlanner planner) {
    boolean complete = true;
    for (SimulatedEngine engine : engines) {
      SimulatedPlanner.Copy current =
          store.getOrDefault(
              engine.name,
              new SimulatedPlanner.Copy(
                  RunnerLedger.empty(engine.name, engine.memoryMegabytes), 0));
      planner.table.put(engine.name, current);
      if (!off.contains(Mechanism.TAKEOVER_WRITES)) {
        complete &=
            current.ledger().plannerToken() <= planner.token
                && write(
                    planner,
                    LedgerTransitions.takeOver(
                        current.ledger(), engine.memoryMegabytes, planner.token));
      }
    }
    planner.takenOver = complete;
  }

  /** Updates a ledger conditionally; returns false if it conflicts or its response is lost. */
  private boolean write(SimulatedPlanner planner, RunnerLedger ledger) {
    SimulatedPlanner.Copy known = planner.table.get(ledger.upstream());
    long storeVersion =
        Optional.ofNullable(store.get(ledger.upstream()))
            .map(SimulatedPlanner.Copy::version)
            .orElse(0L);
    if (known == null) {
      return false;
    }
    if (known.version() != storeVersion) {
      readAgain(planner, ledger.upstream());
      return false;
    }
    SimulatedPlanner.Copy written = new SimulatedPlanner.Copy(ledger, storeVersion + 1);
    store.put(ledger.upstream(), written);
    views.add(new OutdatedView(ledger, now));
    planner.table.put(ledger.upstream(), written);
    return random.nextInt(20) > 0;
  }

  private void readAgain(SimulatedPlanner planner, String upstream) {
    SimulatedPlanner.Copy current = store.get(upstream);
    planner.takenOver = current.ledger().plannerToken() <= planner.token;
    planner.table.put(upstream, current);
  }

  /** Executes the next action of a planner for a runner. */
  private void advance(SimulatedPlanner planner, SimulatedEngine engine) {
    if (planner.pausedUntil > now) {
      return;
    }
    if (!planner.takenOver) {
      if (holdsLease(planner)) {
        takeOver(planner);
      }
      return;
    }
    SimulatedPlanner.PendingOrder pending = planner.pendingOrders.get(engine.name);
    if (pending == null) {
      begin(planner, engine);
      return;
    }
    switch (pending.progress) {
      case RESERVED -> check(planner, engine, pending);
      case CHECKED -> send(planner, engine, pending);
      case SENT -> checkTimeout(planner, engine, pending);
      default -> throw new IllegalStateException();
    }
  }

  private void begin(SimulatedPlanner planner, SimulatedEngine engine) {
    RunnerLedger ledger = planner.table.get(engine.name).ledger();
    planner.ages.observe(ledger, now);
    Optional<RunnerObservation> evidence = planner.evidence(engine.name);
    if (evidence.isEmpty()) {
      return;
    }
    RunnerReconciler steps =
        new RunnerReconciler(off.contains(Mechanism.QUARANTINE) ? 0 : QUARANTINE);
    Optional<ReconciliationStep> step =
        steps.next(ledger, evidence.get(), engine.checksFencingTokens, planner.ages, now);
    if (step.isEmpty()) {
      return;
    }
    releases += step.get().releasesMemory() ? 1 : 0;
    boolean unchanged = step.get().ledger().equals(ledger);
    if (unchanged || write(planner, withoutRetiredIfOff(step.get().ledger()))) {
      step.get()
          .order()
          .ifPresent(
              order -> planner.pendingOrders.put(engine.name, newPendingOrder(order, planner)));
    }
  }

  private RunnerLedger withoutRetiredIfOff(RunnerLedger ledger) {
    if (!off.contains(Mechanism.RETIRED_ADAPTERS)) {
      return ledger;
    }
    List<LedgerEntry> entries =
        ledger.entries().stream().filter(each -> each.state() != LedgerState.RETIRED).toList();
    return new RunnerLedger(
        ledger.upstream(),
        ledger.memoryMegabytes(),
        ledger.plannerToken(),
        ledger.highestToken(),
        ledger.bootIdentifier(),
        entries);
  }

  private SimulatedPlanner.PendingOrder newPendingOrder(
      PlannedOrder order, SimulatedPlanner planner) {
    return new SimulatedPlanner.PendingOrder(withToken(order), order.fencingToken(), planner.token);
  }

  private PlannedOrder withToken(PlannedOrder order) {
    long token = off.contains(Mechanism.RISING_TOKENS) ? Long.MAX_VALUE : order.fencingToken();
    return new PlannedOrder(order.action(), order.version(), order.memoryMegabytes(), token);
  }

  private void check(
      SimulatedPlanner planner, SimulatedEngine engine, SimulatedPlanner.PendingOrder pending) {
    if (!holdsLease(planner) || pending.leaseToken != leaseToken) {
      planner.pendingOrders.remove(engine.name);
      return;
    }
    pending.progress = SimulatedPlanner.Progress.CHECKED;
    pending.checkedAt = now;
  }

  private void send(
      SimulatedPlanner planner, SimulatedEngine engine, SimulatedPlanner.PendingOrder pending) {
    pending.progress = SimulatedPlanner.Progress.SENT;
    pending.sentAt = now;
    if (!engine.checksFencingTokens && now - pending.checkedAt >= QUARANTINE) {
      return;
    }
    int copies = random.nextInt(8) == 0 ? 0 : 1 + random.nextInt(2);
    long deadline = engine.checksFencingTokens ? Long.MAX_VALUE : pending.checkedAt + QUARANTINE;
    for (int i = 0; i < copies; i++) {
      long earliest = now + (random.nextInt(3) == 0 ? random.nextInt((int) QUARANTINE) : 0);
      network.add(new Message(engine, planner, pending, engine.boots(), earliest, deadline));
    }
  }

  private void checkTimeout(
      SimulatedPlanner planner, SimulatedEngine engine, SimulatedPlanner.PendingOrder pending) {
    if (now - pending.sentAt > ORDER_TIMEOUT) {
      planner.pendingOrders.remove(engine.name);
      planner.orderEnded.put(engine.name, now);
    }
  }

  private void deliverAny() {
    List<Message> due = network.stream().filter(each -> each.earliest() <= now).toList();
    if (!due.isEmpty()) {
      Message message = due.get(random.nextInt(due.size()));
      network.remove(message);
      deliver(message);
    }
  }

  private void deliverOverdue() {
    for (Message message : List.copyOf(network)) {
      if (message.deadline() <= now + 1) {
        network.remove(message);
        deliver(message);
      }
    }
  }

  private void deliver(Message message) {
    SimulatedEngine engine = message.engine();
    if (!engine.isUp() || engine.boots() != message.boots()) {
      return;
    }
    countLate(message);
    boolean done = engine.execute(message.pending().order, now);
    boolean answered = random.nextInt(6) > 0;
    SimulatedPlanner planner = message.from();
    if (answered && planner.pendingOrders.get(engine.name) == message.pending()) {
      planner.pendingOrders.remove(engine.name);
      message.pending().afterwards.ifPresent(ledger -> write(planner, ledger));
      planner.orderEnded.put(engine.name, now);
      if (done) {
        recordUnload(planner, engine, message.pending());
      }
    }
  }

  private void countLate(Message message) {
    PlannedOrder order = message.pending().order;
    boolean counted =
        store
            .get(message.engine().name)
            .ledger()
            .entry(order.version())
            .filter(each -> each.state() != LedgerState.RETIRED)
            .isPresent();
    if (order.action() == PlannedOrder.Action.LOAD && !counted) {
      lateLoads++;
    }
  }

  private static void recordUnload(
      SimulatedPlanner planner, SimulatedEngine engine, SimulatedPlanner.PendingOrder pending) {
    if (pending.order.action() == PlannedOrder.Action.UNLOAD) {
      planner.ages.recordUnload(
          engine.name, pending.order.version(), pending.entryToken, pending.sentAt);
    }
  }

  private void decide(SimulatedPlanner planner) {
    boolean allObserved =
        engines.stream()
            .allMatch(each -> !each.isUp() || planner.observations.containsKey(each.name));
    if (!planner.takenOver || !allObserved || planner.pausedUntil > now) {
      return;
    }
    List<RunnerView> views = engines.stream().map(each -> view(planner, each)).toList();
    List<DemandSample> demand = TestConfigurations.demand(random, configuration);
    PlacementInput input = new PlacementInput(configuration, views, demand, planner.ages, 3, now);
    PlacementPlanner policy =
        new PlacementPlanner(
            new GainPlacement(new GainSettings(5, 0.001, 2)), new DrainPolicy(2, 10));
    Set<String> changed = new HashSet<>();
    for (PlannedMove move : policy.plan(input)) {
      boolean free =
          !planner.pendingOrders.containsKey(move.upstream()) && changed.add(move.upstream());
      if (free) {
        apply(planner, move);
      }
    }
  }

  private RunnerView view(SimulatedPlanner planner, SimulatedEngine engine) {
    return new RunnerView(
        TestConfigurations.upstream(engine),
        planner.table.get(engine.name).ledger(),
        Optional.ofNullable(planner.observations.get(engine.name)).map(RunnerObservation::report),
        planner.observations.containsKey(engine.name));
  }

  private void apply(SimulatedPlanner planner, PlannedMove move) {
    ReplicaSize size = ReplicaSize.of(configuration, move.version());
    if (off.contains(Mechanism.ADAPTERS_RESERVED)) {
      size = new ReplicaSize(size.memoryMegabytes(), List.of());
    }
    RunnerLedger before = planner.table.get(move.upstream()).ledger();
    RunnerLedger after = move.applyTo(before, size);
    if (off.contains(Mechanism.RESERVE_BEFORE_ORDER) && move.kind() == MoveKind.LOAD) {
      LedgerEntry entry = after.entry(move.version()).orElseThrow();
      PlannedOrder order =
          new PlannedOrder(
              PlannedOrder.Action.LOAD,
              move.version(),
              entry.memoryMegabytes(),
              entry.orderToken());
      SimulatedPlanner.PendingOrder unreserved = newPendingOrder(order, planner);
      unreserved.afterwards = Optional.of(after);
      planner.pendingOrders.put(move.upstream(), unreserved);
      moves++;
      return;
    }
    if (write(planner, after)) {
      moves++;
    }
  }

  /** Records each configured version that served once and now serves on no engine. */
  private void checkResidence() {
    for (VersionId version : wanted) {
      boolean serves = engines.stream().anyMatch(each -> each.isUp() && serves(each, version));
      if (serves) {
        resident.add(version);
      } else if (resident.remove(version)) {
        lost.add(version + " at " + now);
      }
    }
  }

  private boolean serves(SimulatedEngine engine, VersionId version) {
    return engine.holds(version, now)
        && Optional.ofNullable(store.get(engine.name))
            .flatMap(each -> each.ledger().entry(version))
            .filter(LedgerEntry::isLoaded)
            .isPresent();
  }

  private SimulatedEngine engine(String name) {
    return engines.stream().filter(each -> each.name.equals(name)).findFirst().orElseThrow();
  }
}
