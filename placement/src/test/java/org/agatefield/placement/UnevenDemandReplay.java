package org.agatefield.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.agatefield.model.ModelDemand;
import org.agatefield.model.WeightStoreLimits;

/**
 * Replays a fleet whose demand is concentrated on a few models that change, with many models that
 * are asked for rarely, against a replica policy.
 *
 * <p>The rates of models and engines are those that were learned, or nominal ones. Time advances in
 * steps; nothing depends on the machine's speed or on the wall clock. Running requests are
 * approximated by their rate and duration, waiting ones are counted. Confined to one thread.
 */
final class UnevenDemandReplay {
  static final int ENGINES = 42;
  static final int MODELS = 131;
  static final int BUSY_MODELS = 50; // of which ACTIVE_MODELS have the demand at any time
  static final int ACTIVE_MODELS = 20;
  static final long STEP_MILLISECONDS = 40;
  static final long PLAN_MILLISECONDS = 200;
  private static final int REPORTING_INSTANCES = 6; // one reports in each step, so each in 240 ms
  private static final double CAPACITY_MEGABYTES = 230_000;
  private static final double RESERVED_MEGABYTES = 1_000;
  private static final int MODELS_IN_MEMORY = 4;
  private static final int MODELS_ON_DISK = 12;
  private static final double STORE_LOADS_PER_SECOND = 10;
  private static final int STORE_LOAD_BURST = 3;
  private static final double DISK_LOAD_MILLISECONDS = 1_000;
  private static final double MEMORY_LOAD_MILLISECONDS = 700;
  private static final long COMPLETION_KNOWN_MILLISECONDS = 400; // report lag and poll interval
  private static final int TOKENS_PER_REQUEST = 2_368;
  private static final long REQUEST_MILLISECONDS = 800;
  private static final double URGENT_REQUESTS_PER_SECOND = 200;
  private static final double RARE_REQUESTS_PER_SECOND = 22;
  private static final double LARGEST_SHARE = 0.15;
  private static final double SLOW_MILLISECONDS_PER_TOKEN = 0.07;
  private static final double FAST_ENGINE_SPEED = 2.4;
  private static final int DISTRIBUTION_ROUNDS = 12;

  /** A model with the rate of its requests. */
  static final class Model {
    final ModelProfile profile;
    final double millisecondsPerToken;
    double requestsPerSecond;
    final List<Long> waitingSince = new ArrayList<>();

    Model(ModelProfile profile, double millisecondsPerToken) {
      this.profile = profile;
      this.millisecondsPerToken = millisecondsPerToken;
    }

    String name() {
      return profile.name();
    }

    double engines() {
      return requestsPerSecond * TOKENS_PER_REQUEST * millisecondsPerToken / 1_000;
    }
  }

  /** An engine with its models and the copies of weights that it keeps. */
  static final class Engine {
    final String id;
    final double speed;
    final Set<String> held = new HashSet<>();
    final LinkedHashSet<String> inMemory = new LinkedHashSet<>();
    final LinkedHashSet<String> onDisk = new LinkedHashSet<>();
    final Map<String, Long> runningUntil = new HashMap<>();
    ReplicaMove move;
    long loadedAt;
    long freeAt;
    long downUntil;

    Engine(String id, double speed) {
      this.id = id;
      this.speed = speed;
    }

    void keepCopies(String model) {
      keep(inMemory, model, MODELS_IN_MEMORY);
      keep(onDisk, model, MODELS_ON_DISK);
    }

    private static void keep(LinkedHashSet<String> copies, String model, int limit) {
      copies.remove(model);
      copies.add(model);
      if (copies.size() > limit) {
        copies.remove(copies.iterator().next());
      }
    }
  }

  final List<Model> models = new ArrayList<>();
  final List<Engine> engines = new ArrayList<>();
  final List<Long> rareWaits = new ArrayList<>();
  final List<ReplicaMove> moves = new ArrayList<>();
  final Map<Long, Integer> storeLoadsAt = new HashMap<>();
  final DemandTracker tracker = new DemandTracker();
  final Set<Integer> silentInstances = new HashSet<>();
  boolean ratesAreLearned = true;
  long now;
  private final Map<String, Model> byName = new HashMap<>();
  private final Random random;
  private final double storeLoadMilliseconds;
  private final ReplicaPolicy policy;
  private final List<Map<String, long[]>> unreported = new ArrayList<>();
  private boolean countsLoading;
  private LoadBudget budget = LoadBudget.startingAt(0);

  UnevenDemandReplay(long seed, double storeLoadMilliseconds, ReplicaPolicy policy) {
    this.random = new Random(seed);
    this.storeLoadMilliseconds = storeLoadMilliseconds;
    this.policy = policy;
    for (int index = 0; index < MODELS; index++) {
      boolean quick = index % 3 == 0;
      double pace = quick ? 0.23 + 0.12 * random.nextDouble() : 1;
      double weights = quick ? 65_100 : 72_700;
      ModelProfile profile =
          new ModelProfile(
              "m" + index,
              weights,
              storeLoadMilliseconds,
              DISK_LOAD_MILLISECONDS,
              MEMORY_LOAD_MILLISECONDS);
      Model model = new Model(profile, SLOW_MILLISECONDS_PER_TOKEN * pace);
      models.add(model);
      byName.put(model.name(), model);
    }
    for (int index = 0; index < ENGINES; index++) {
      engines.add(new Engine("e" + index, index % 3 == 0 ? FAST_ENGINE_SPEED : 1));
    }
    for (int instance = 0; instance < REPORTING_INSTANCES; instance++) {
      unreported.add(new HashMap<>());
    }
    setDemand();
    placeAtStart();
  }

  private void setDemand() {
    double weightSum = 0;
    for (int index = 1; index < ACTIVE_MODELS; index++) {
      weightSum += 1.0 / (2 + index);
    }
    for (int index = 0; index < MODELS; index++) {
      double rate = 0;
      if (index == 0) {
        rate = URGENT_REQUESTS_PER_SECOND * LARGEST_SHARE;
      } else if (index < ACTIVE_MODELS) {
        rate = URGENT_REQUESTS_PER_SECOND * (1 - LARGEST_SHARE) / (2 + index) / weightSum;
      } else if (index >= BUSY_MODELS) {
        rate = RARE_REQUESTS_PER_SECOND / (MODELS - BUSY_MODELS);
      }
      models.get(index).requestsPerSecond = rate;
    }
  }

  /** Places the busy models on many engines and the others on one each while there is room. */
  private void placeAtStart() {
    int place = 0;
    for (int index = 0; index < ACTIVE_MODELS; index++) {
      int replicas = index < 6 ? 4 : 2;
      for (int replica = 0; replica < replicas; replica++) {
        place(models.get(index), place++);
      }
    }
    List<Model> others = new ArrayList<>(models.subList(ACTIVE_MODELS, MODELS));
    Collections.shuffle(others, random);
    for (Model model : others) {
      if (place < 3 * ENGINES) {
        place(model, place++);
      }
    }
  }

  private void place(Model model, int place) {
    Engine engine = engines.get(place * 5 % ENGINES);
    if (engine.held.size() < 3 && engine.held.add(model.name())) {
      engine.keepCopies(model.name());
    }
  }

  /** Exchanges the demand of three models with that of three that have none. */
  List<Model> shift(int... active) {
    List<Model> risen = new ArrayList<>();
    for (int each : active) {
      Model from = models.get(each);
      Model to =
          models.subList(ACTIVE_MODELS, BUSY_MODELS).stream()
              .filter(model -> model.requestsPerSecond == 0 && !risen.contains(model))
              .skip(random.nextInt(5))
              .findFirst()
              .orElseThrow();
      to.requestsPerSecond = from.requestsPerSecond;
      from.requestsPerSecond = 0;
      risen.add(to);
    }
    return risen;
  }

  void runUntil(long end) {
    while (now < end) {
      step();
    }
  }

  void step() {
    now += STEP_MILLISECONDS;
    arrive();
    finishLoads();
    serveWaiting();
    report((int) (now / STEP_MILLISECONDS % REPORTING_INSTANCES));
    if (now % PLAN_MILLISECONDS == 0) {
      plan();
    }
  }

  private void arrive() {
    for (Model model : models) {
      int arrivals = poisson(model.requestsPerSecond * STEP_MILLISECONDS / 1_000);
      for (int each = 0; each < arrivals; each++) {
        int instance = random.nextInt(REPORTING_INSTANCES);
        long[] counts =
            unreported.get(instance).computeIfAbsent(model.name(), ignored -> new long[1]);
        counts[0]++;
        model.waitingSince.add(now);
      }
    }
  }

  private int poisson(double mean) {
    double limit = Math.exp(-mean);
    double product = random.nextDouble();
    int count = 0;
    while (product > limit) {
      product *= random.nextDouble();
      count++;
    }
    return count;
  }

  private void finishLoads() {
    for (Engine engine : engines) {
      if (engine.move != null && engine.loadedAt <= now) {
        engine.held.add(engine.move.load());
        engine.keepCopies(engine.move.load());
        engine.move = null;
        engine.freeAt = now + COMPLETION_KNOWN_MILLISECONDS;
      }
    }
  }

  private void serveWaiting() {
    for (Model model : models) {
      List<Engine> holders = holders(model.name());
      if (holders.isEmpty()) {
        continue;
      }
      for (long since : model.waitingSince) {
        if (isRare(model)) {
          rareWaits.add(now - since);
        }
        Engine engine = holders.get(random.nextInt(holders.size()));
        engine.runningUntil.merge(model.name(), now + REQUEST_MILLISECONDS, Math::max);
      }
      model.waitingSince.clear();
    }
  }

  boolean isRare(Model model) {
    return models.indexOf(model) >= BUSY_MODELS;
  }

  List<Engine> holders(String model) {
    return engines.stream()
        .filter(engine -> engine.held.contains(model) && engine.downUntil <= now)
        .toList();
  }

  private void report(int instance) {
    if (silentInstances.contains(instance)) {
      return;
    }
    List<ModelDemand> demands = new ArrayList<>();
    for (Model model : models) {
      long arrived = unreported.get(instance).getOrDefault(model.name(), new long[1])[0];
      int waiting = share(model.waitingSince.size(), instance);
      Map<String, Integer> runningAt = new HashMap<>();
      List<Engine> holders = holders(model.name());
      int running = (int) Math.ceil(model.requestsPerSecond * REQUEST_MILLISECONDS / 1_000);
      for (int index = 0; index < holders.size(); index++) {
        Engine engine = holders.get(index);
        if (engine.runningUntil.getOrDefault(model.name(), 0L) > now) {
          int here = share(Math.max(1, running / holders.size()), instance);
          if (here > 0) {
            runningAt.put(engine.id, here);
          }
        }
      }
      int total = runningAt.values().stream().mapToInt(Integer::intValue).sum();
      if (arrived + waiting + total > 0) {
        demands.add(
            new ModelDemand(
                "service",
                model.name(),
                arrived * TOKENS_PER_REQUEST,
                (int) arrived,
                waiting,
                total,
                0,
                runningAt,
                0));
      }
    }
    unreported.get(instance).clear();
    tracker.record("i" + instance, demands, now);
  }

  /** Returns the instance's part of a number that is spread over all instances. */
  private static int share(int total, int instance) {
    return total / REPORTING_INSTANCES + (instance < total % REPORTING_INSTANCES ? 1 : 0);
  }

  private void plan() {
    Map<String, DemandTracker.Demand> demands = tracker.demands(now);
    List<EngineView> views = engines.stream().map(this::view).toList();
    List<ModelProfile> profiles = models.stream().map(this::profile).toList();
    int concurrent = (int) (STORE_LOADS_PER_SECOND * 3);
    budget =
        budget.refill(
            new WeightStoreLimits(STORE_LOADS_PER_SECOND, STORE_LOAD_BURST, 24), now * 1_000_000L);
    long loading =
        engines.stream().filter(each -> each.move != null && each.move.fromStore()).count();
    int allowed = (int) Math.min(budget.available(), Math.max(0, concurrent - loading));
    List<ReplicaMove> planned = policy.plan(views, profiles, demands, allowed);
    for (ReplicaMove move : planned) {
      begin(move);
    }
  }

  private void begin(ReplicaMove move) {
    moves.add(move);
    if (move.fromStore()) {
      budget = budget.take();
      storeLoadsAt.merge(now, 1, Integer::sum);
    }
    Engine engine =
        engines.stream().filter(each -> each.id.equals(move.runner())).findFirst().orElseThrow();
    long start = now;
    for (String victim : move.unload()) {
      start = Math.max(start, engine.runningUntil.getOrDefault(victim, 0L));
      engine.held.remove(victim);
    }
    engine.move = move;
    ModelProfile profile = byName.get(move.load()).profile;
    engine.loadedAt = start + (long) profile.loadMilliseconds(view(engine));
  }

  private ModelProfile profile(Model model) {
    if (!ratesAreLearned) {
      return model.profile;
    }
    ModelProfile known = model.profile;
    return new ModelProfile(
        known.name(),
        known.weightsMegabytes(),
        known.storeLoadMilliseconds(),
        known.diskLoadMilliseconds(),
        known.memoryLoadMilliseconds(),
        TokenWork.learned(model.millisecondsPerToken));
  }

  private EngineView view(Engine engine) {
    Set<String> held = new HashSet<>(engine.held);
    if (engine.move != null) {
      held.add(engine.move.load());
    }
    return new EngineView(
        engine.id,
        "d",
        CAPACITY_MEGABYTES,
        RESERVED_MEGABYTES,
        held,
        held,
        OptionalDouble.empty(),
        engine.inMemory,
        engine.onDisk,
        engine.move == null && engine.freeAt <= now && engine.downUntil <= now,
        ratesAreLearned ? engine.speed : 1);
  }

  /** Crashes an engine; it comes back empty, with the copies on its disk. */
  void crash(Engine engine, long backAt) {
    engine.move = null;
    engine.held.clear();
    engine.inMemory.clear();
    engine.runningUntil.clear();
    engine.downUntil = backAt;
  }

  private boolean serves(Engine engine, Model model) {
    boolean loading = engine.move != null && engine.move.load().equals(model.name());
    return engine.downUntil <= now
        && (engine.held.contains(model.name()) || countsLoading && loading);
  }

  /** Returns the level of a model once all loads that have begun are complete. */
  double orderedLevel(Model model) {
    countsLoading = true;
    double level = level(model);
    countsLoading = false;
    return level;
  }

  /** Returns the load of each engine divided by its speed, with all load spread evenly. */
  double[] levels() {
    double[] load = new double[engines.size()];
    Map<Model, double[]> parts = new HashMap<>();
    for (int round = 0; round < DISTRIBUTION_ROUNDS; round++) {
      for (Model model : models) {
        spread(model, load, parts);
      }
    }
    for (int index = 0; index < load.length; index++) {
      load[index] /= engines.get(index).speed;
    }
    return load;
  }

  private void spread(Model model, double[] load, Map<Model, double[]> parts) {
    List<Integer> holders = new ArrayList<>();
    for (int index = 0; index < engines.size(); index++) {
      if (serves(engines.get(index), model)) {
        holders.add(index);
      }
    }
    double[] before = parts.remove(model);
    if (before != null) {
      for (int index = 0; index < load.length; index++) {
        load[index] -= before[index];
      }
    }
    if (holders.isEmpty()) {
      return;
    }
    double[] part = new double[load.length];
    double low = 0;
    double high = 1_000;
    for (int iteration = 0; iteration < 40; iteration++) {
      double level = (low + high) / 2;
      double filled = 0;
      for (int index : holders) {
        filled += Math.max(0, level * engines.get(index).speed - load[index]);
      }
      if (filled > model.engines()) {
        high = level;
      } else {
        low = level;
      }
    }
    for (int index : holders) {
      part[index] = Math.max(0, high * engines.get(index).speed - load[index]);
      load[index] += part[index];
    }
    parts.put(model, part);
  }

  /** Returns the level of the least loaded engine that serves the model; huge without one. */
  double level(Model model) {
    double[] levels = levels();
    double lowest = Double.MAX_VALUE;
    for (int index = 0; index < levels.length; index++) {
      if (serves(engines.get(index), model)) {
        lowest = Math.min(lowest, levels[index]);
      }
    }
    return lowest;
  }

  double highestLevel() {
    double highest = 0;
    for (double level : levels()) {
      highest = Math.max(highest, level);
    }
    return highest;
  }

  long rareWait(double quantile) {
    if (rareWaits.isEmpty()) {
      return 0;
    }
    List<Long> sorted = new ArrayList<>(rareWaits);
    Collections.sort(sorted);
    return sorted.get((int) Math.min(sorted.size() - 1, quantile * sorted.size()));
  }
}
