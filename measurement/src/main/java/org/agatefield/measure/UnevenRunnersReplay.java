package org.agatefield.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Function;
import org.agatefield.cost.AttemptWork;
import org.agatefield.cost.LearnedRates;
import org.agatefield.cost.RateKind;
import org.agatefield.cost.RateSum;
import org.agatefield.forwarding.EarliestStartChooser;
import org.agatefield.forwarding.GenerationParameters;
import org.agatefield.forwarding.LikelyBestChooser;
import org.agatefield.forwarding.RequestWork;
import org.agatefield.forwarding.RunnerCandidate;
import org.agatefield.forwarding.RunnerCandidate.Distance;
import org.agatefield.forwarding.RunnerChooser;
import org.agatefield.forwarding.RunnerEstimates;
import org.agatefield.forwarding.RunnerLoads;
import org.agatefield.forwarding.TwoChoicesChooser;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.RunnerState;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Replays equal-looking requests at runners of uneven speed, chosen by many instances that learn of
 * each other's requests some hundred milliseconds late.
 *
 * <p>A third of the runners is 2.4 times as fast as the others, one of two models is read four
 * times as fast as the other, requests arrive in waves with clumps, and runners slow down for a
 * moment now and then. Confined to one thread; equal seeds give equal results.
 */
final class UnevenRunnersReplay {
  private static final int INSTANCES = 71;
  private static final int RUNNERS = 42;
  private static final int DOMAINS = 6; // Odd ones are in another region than even ones.
  private static final double FAST_SPEED = 2.4;
  private static final double DOMAIN_CROSSING_MILLISECONDS = 4;
  private static final double REGION_CROSSING_MILLISECONDS = 120;
  private static final double MILLISECONDS_PER_TOKEN = 0.05;
  private static final double LIGHT_MODEL_SHARE = 0.4;
  private static final double LIGHT_MODEL_PACE = 0.25;
  private static final double FIRST_STEPS_MILLISECONDS = 40;
  private static final double WRITING_MILLISECONDS = 300;
  private static final double WAVE_MILLISECONDS = 17_000;
  private static final double WAVE_DEPTH = 0.5;
  private static final double CLUMP_SHARE = 0.02;
  private static final int CLUMP_SIZE = 12;
  private static final double SLOW_MOMENTS_PER_SECOND = 1;
  private static final double SLOW_MOMENT_MILLISECONDS = 600;
  private static final double SLOW_MOMENT_FACTOR = 2.5;
  private static final long REPORT_MILLISECONDS = 240;
  private static final long KNOWLEDGE_MILLISECONDS = 960;
  private static final long WARM_UP_MILLISECONDS = 10_000;
  private static final long DURATION_MILLISECONDS = 50_000;
  private static final double OBJECTIVE_MILLISECONDS = 600;

  private final Policy policy;
  private final double load;
  private final UniformRandomProvider random;
  private final List<Runner> runners = new ArrayList<>();
  private final List<Chooser> choosers = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Deque<List<Map<String, RunnerLoads.Load>>> reports = new ArrayDeque<>();
  private final List<Double> times = new ArrayList<>();
  private double busiestBacklogs;
  private int samples;
  private int crossings;
  private long sequence;

  /** How instances choose. */
  enum Policy {
    /** One speed for a runner by own requests, neighbours' work as reported, the best one. */
    EARLIEST_START(true, EarliestStartChooser::new),
    /** Learned costs, the best one. */
    BEST(false, EarliestStartChooser::new),
    /** Learned costs, the better of two. */
    TWO_CHOICES(false, TwoChoicesChooser::new),
    /** Learned costs, drawn by cost. */
    LIKELY_BEST(false, LikelyBestChooser::new);

    private final boolean simple;
    private final Function<UniformRandomProvider, RunnerChooser> choosers;

    Policy(boolean simple, Function<UniformRandomProvider, RunnerChooser> choosers) {
      this.simple = simple;
      this.choosers = choosers;
    }
  }

  /**
   * What came of a replay. Immutable.
   *
   * @param inAimShare the share of requests whose first event came within the objective
   * @param meanMilliseconds the mean time to the first event
   * @param lateMilliseconds the 95th percentile of that time
   * @param busiestToMean the busy time of the busiest runner by that of the mean one
   * @param busiestBacklogMilliseconds the longest backlog of a runner, in the mean over time
   * @param otherRegionShare the share of requests that went to another region
   */
  record Outcome(
      double inAimShare,
      double meanMilliseconds,
      double lateMilliseconds,
      double busiestToMean,
      double busiestBacklogMilliseconds,
      double otherRegionShare) {}

  private record Event(double at, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private static final class Runner {
    private final String id;
    private final double speed;
    private double freeAt;
    private double slowUntil;
    private double busyMilliseconds;

    Runner(String id, double speed) {
      this.id = id;
      this.speed = speed;
    }

    /** Reads a prompt after those that are there; returns when it is done. */
    double read(double workMilliseconds, double now) {
      double start = Math.max(now, freeAt);
      double needed = workMilliseconds / speed;
      double slowTime = Math.max(0, slowUntil - start);
      double slowed = Math.min(needed, slowTime / SLOW_MOMENT_FACTOR);
      freeAt = start + needed + slowed * (SLOW_MOMENT_FACTOR - 1);
      if (now >= WARM_UP_MILLISECONDS) {
        busyMilliseconds += needed;
      }
      return freeAt;
    }
  }

  /** One instance. */
  private final class Chooser {
    private final KnowledgeTable<RateSum> speeds = new KnowledgeTable<>(RateKind.RUNNER_SPEED);
    private final KnowledgeTable<RateSum> paces = new KnowledgeTable<>(RateKind.MODEL_PACE);
    private final LearnedRates rates = new LearnedRates(speeds, paces);
    private final RunnerLoads loads = new RunnerLoads(rates);
    private final RunnerEstimates estimates =
        new RunnerEstimates(rates, loads, new KnowledgeTable<>(RunnerState.KIND));
    private final SimpleEstimates simple = new SimpleEstimates(loads);
    private final RunnerChooser choice = policy.choosers.apply(random);
    private final int domain;
    private long revisionSent;

    Chooser(int domain) {
      this.domain = domain;
    }

    private void arrived(double at) {
      boolean light = random.nextDouble() < LIGHT_MODEL_SHARE;
      int tokens = 800 + random.nextInt(2_000);
      GenerationParameters terms =
          new GenerationParameters(
              light ? "light" : "normal", Optional.empty(), tokens, 80, List.of());
      long now = (long) at;
      RequestWork work = estimates.work("route", "", Optional.of(terms), 0);
      List<RunnerCandidate> candidates = new ArrayList<>(RUNNERS);
      for (Runner each : runners) {
        candidates.add(
            policy.simple
                ? simple.candidate(each.id, distance(domain, each.id), tokens, now)
                : estimates.candidate(place(domain, each.id), work, now));
      }
      Runner chosen = runner(choice.choose(candidates).orElseThrow().id());
      double pace = MILLISECONDS_PER_TOKEN * (light ? LIGHT_MODEL_PACE : 1);
      Distance way = distance(domain, chosen.id);
      double firstAt =
          chosen.read(tokens * pace, at) + FIRST_STEPS_MILLISECONDS / chosen.speed + crossing(way);
      if (at >= WARM_UP_MILLISECONDS) {
        crossings += way == Distance.OTHER_REGION ? 1 : 0;
        times.add(firstAt - at);
      }
      if (policy.simple) {
        double ahead = loads.total(chosen.id, now).pendingPrefillTokens() + tokens;
        loads.sent(chosen.id, tokens);
        schedule(firstAt, () -> simple.firstEvent(chosen.id, tokens, ahead, firstAt - at));
        schedule(firstAt + WRITING_MILLISECONDS, () -> loads.ended(chosen.id));
      } else {
        AttemptWork attempt = estimates.sent(place(domain, chosen.id), work, now);
        schedule(
            firstAt,
            () ->
                estimates.firstEvent(attempt, work, way != Distance.OTHER_REGION, (long) firstAt));
        schedule(firstAt + WRITING_MILLISECONDS, () -> estimates.ended(attempt));
      }
    }

    private void tell(Chooser other, String self, long now) {
      KnowledgeTable.Selection<RateSum> told =
          speeds.select(List.of(), revisionSent, Integer.MAX_VALUE, now);
      told.facts().forEach((id, sum) -> other.speeds.receive(self, id, sum, now));
      paces
          .select(List.of(), 0, Integer.MAX_VALUE, now)
          .facts()
          .forEach((id, sum) -> other.paces.receive(self, id, sum, now));
    }
  }

  /** The estimates by uncached tokens and one speed for each runner. */
  private static final class SimpleEstimates {
    private static final double INITIAL_MILLISECONDS_PER_TOKEN = 0.06;
    private static final double MAXIMUM_MILLISECONDS_PER_TOKEN = 0.3;
    private static final double FIRST_STEP_MILLISECONDS = 90;
    private static final double MINIMUM_TOKENS = 500;
    private static final double SMOOTHING = 0.15;

    private final RunnerLoads loads;
    private final Map<String, Double> millisecondsPerToken = new HashMap<>();

    SimpleEstimates(RunnerLoads loads) {
      this.loads = loads;
    }

    RunnerCandidate candidate(String runner, Distance distance, int tokens, long now) {
      RunnerLoads.Load total = loads.total(runner, now);
      return new RunnerCandidate(
          runner,
          distance,
          total.running(),
          64,
          total.pendingPrefillTokens(),
          pace(runner),
          0,
          tokens,
          true);
    }

    void firstEvent(String runner, int tokens, double ahead, double milliseconds) {
      loads.prefillEnded(runner, tokens);
      double reading = Math.max(0, milliseconds - FIRST_STEP_MILLISECONDS);
      double sample =
          Math.min(MAXIMUM_MILLISECONDS_PER_TOKEN, reading / Math.max(MINIMUM_TOKENS, ahead));
      double before = pace(runner);
      millisecondsPerToken.put(runner, before + SMOOTHING * (sample - before));
    }

    private double pace(String runner) {
      return millisecondsPerToken.getOrDefault(runner, INITIAL_MILLISECONDS_PER_TOKEN);
    }
  }

  /**
   * Creates a replay.
   *
   * @param load the mean share of the runners' capacity that requests need
   */
  UnevenRunnersReplay(Policy policy, double load, long seed) {
    this.policy = policy;
    this.load = load;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int number = 0; number < RUNNERS; number++) {
      runners.add(new Runner("runner-" + number, number / DOMAINS % 3 == 1 ? FAST_SPEED : 1));
    }
    for (int number = 0; number < INSTANCES; number++) {
      choosers.add(new Chooser(number % DOMAINS));
    }
  }

  Outcome run() {
    scheduleArrival(0);
    scheduleSlowMoment(0);
    scheduleReports(REPORT_MILLISECONDS);
    scheduleKnowledge(KNOWLEDGE_MILLISECONDS);
    while (!events.isEmpty() && events.peek().at() < DURATION_MILLISECONDS) {
      events.poll().action().run();
    }
    double most = runners.stream().mapToDouble(each -> each.busyMilliseconds).max().orElse(0);
    double mean = runners.stream().mapToDouble(each -> each.busyMilliseconds).average().orElse(1);
    times.sort(Double::compare);
    return new Outcome(
        (double) times.stream().filter(each -> each <= OBJECTIVE_MILLISECONDS).count()
            / times.size(),
        times.stream().mapToDouble(Double::doubleValue).average().orElse(0),
        times.get((int) (0.95 * times.size())),
        most / mean,
        busiestBacklogs / samples,
        (double) crossings / times.size());
  }

  private void schedule(double at, Runnable action) {
    events.add(new Event(at, sequence++, action));
  }

  private void scheduleArrival(double after) {
    double capacity = runners.stream().mapToDouble(each -> each.speed).sum();
    double meanWork =
        1_800 * MILLISECONDS_PER_TOKEN * (1 - LIGHT_MODEL_SHARE * (1 - LIGHT_MODEL_PACE));
    double clumps = 1 + CLUMP_SHARE * (CLUMP_SIZE - 1);
    double wave = wave(after, 0);
    double perMillisecond = load * wave * capacity / meanWork / clumps;
    double at = after - Math.log(1 - random.nextDouble()) / perMillisecond;
    schedule(
        at,
        () -> {
          int size = random.nextDouble() < CLUMP_SHARE ? CLUMP_SIZE : 1;
          for (int number = 0; number < size; number++) {
            choosers.get(busyInstance(at)).arrived(at);
          }
          scheduleArrival(at);
        });
  }

  /** Draws an instance; failure domains have their waves one after the other. */
  private int busyInstance(double at) {
    int number = random.nextInt(INSTANCES);
    while (random.nextDouble() * (1 + WAVE_DEPTH) > wave(at, number % DOMAINS)) {
      number = random.nextInt(INSTANCES);
    }
    return number;
  }

  private static double wave(double at, int domain) {
    double turn = at / WAVE_MILLISECONDS + (double) domain / DOMAINS;
    return 1 + WAVE_DEPTH * Math.sin(2 * Math.PI * turn);
  }

  private void scheduleSlowMoment(double after) {
    double at = after - Math.log(1 - random.nextDouble()) * 1_000 / SLOW_MOMENTS_PER_SECOND;
    schedule(
        at,
        () -> {
          runners.get(random.nextInt(RUNNERS)).slowUntil = at + SLOW_MOMENT_MILLISECONDS;
          scheduleSlowMoment(at);
        });
  }

  /** Lets all instances report, and applies the reports that a relay got one period earlier. */
  private void scheduleReports(long at) {
    schedule(
        at,
        () -> {
          List<Map<String, RunnerLoads.Load>> current = new ArrayList<>(INSTANCES);
          choosers.forEach(each -> current.add(each.loads.ownLoads()));
          reports.add(current);
          if (reports.size() > 1) {
            applyReports(reports.poll(), at);
          }
          if (at >= WARM_UP_MILLISECONDS) {
            samples++;
            busiestBacklogs +=
                runners.stream().mapToDouble(each -> Math.max(0, each.freeAt - at)).max().orElse(0);
          }
          scheduleReports(at + REPORT_MILLISECONDS);
        });
  }

  private void applyReports(List<Map<String, RunnerLoads.Load>> reported, long now) {
    Map<String, RunnerLoads.Load> sum = new HashMap<>();
    reported.forEach(
        each -> each.forEach((id, load) -> sum.merge(id, load, UnevenRunnersReplay::plus)));
    for (int number = 0; number < INSTANCES; number++) {
      Map<String, RunnerLoads.Load> others = new HashMap<>(sum);
      reported
          .get(number)
          .forEach((id, load) -> others.merge(id, load, UnevenRunnersReplay::minus));
      choosers.get(number).loads.replaceNeighbours("relay", others, now);
    }
  }

  private static RunnerLoads.Load plus(RunnerLoads.Load first, RunnerLoads.Load second) {
    return new RunnerLoads.Load(
        first.running() + second.running(),
        first.pendingPrefillTokens() + second.pendingPrefillTokens());
  }

  private static RunnerLoads.Load minus(RunnerLoads.Load first, RunnerLoads.Load second) {
    return new RunnerLoads.Load(
        first.running() - second.running(),
        first.pendingPrefillTokens() - second.pendingPrefillTokens());
  }

  private void scheduleKnowledge(long at) {
    schedule(
        at,
        () -> {
          for (int from = 0; from < INSTANCES; from++) {
            Chooser source = choosers.get(from);
            for (Chooser other : choosers) {
              if (other != source) {
                source.tell(other, "instance-" + from, at);
              }
            }
            source.revisionSent =
                source.speeds.select(List.of(), 0, Integer.MAX_VALUE, at).revision();
          }
          choosers.forEach(each -> each.rates.refresh(at));
          scheduleKnowledge(at + KNOWLEDGE_MILLISECONDS);
        });
  }

  private Runner runner(String id) {
    return runners.get(Integer.parseInt(id.substring("runner-".length())));
  }

  private static RunnerEstimates.Place place(int domain, String runner) {
    return new RunnerEstimates.Place(runner, distance(domain, runner), 64, 0, true);
  }

  private static Distance distance(int domain, String runner) {
    int other = Integer.parseInt(runner.substring("runner-".length())) % DOMAINS;
    if (other == domain) {
      return Distance.SAME_DOMAIN;
    }
    return other % 2 == domain % 2 ? Distance.SAME_REGION : Distance.OTHER_REGION;
  }

  private static double crossing(Distance distance) {
    return switch (distance) {
      case SAME_DOMAIN -> 0;
      case SAME_REGION -> DOMAIN_CROSSING_MILLISECONDS;
      case OTHER_REGION -> REGION_CROSSING_MILLISECONDS;
    };
  }
}
