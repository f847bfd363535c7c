package org.agatefield.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.agatefield.cost.AttemptWork;
import org.agatefield.cost.LearnedRates;
import org.agatefield.cost.OutputEstimate;
import org.agatefield.cost.OutputLengths;
import org.agatefield.cost.RequestShape;
import org.agatefield.cost.TokenRoom;
import org.agatefield.cost.TokenRoom.Room;
import org.agatefield.cost.WorkLeft;
import org.agatefield.forwarding.RunnerCandidate.Distance;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.Observed;
import org.agatefield.knowledge.RunnerState;

/**
 * Estimates what requests cost, what each runner still has to do and when it can start a request,
 * and learns from what came of it.
 *
 * <p>Invariant: what is counted for an attempt when it starts is released when it ends. Confined to
 * one thread.
 */
public final class RunnerEstimates {
  // Several engine steps with an idle batch, and the way there and back.
  private static final double FIRST_STEPS_MILLISECONDS = 40;
  // Each output that is being written lengthens the steps.
  private static final double FIRST_STEPS_MILLISECONDS_PER_OUTPUT = 2;
  private static final double READING_SHARE_PER_OUTPUT = 0.01;
  // What the outputs of other instances have left to write is not told.
  private static final double WRITING_PER_NEIGHBOUR_REQUEST = 0.6;
  private static final double DELAY_SHARE_PER_RUNNING = 0.02;
  // A runner whose memory is nearly full drops what it has kept and preempts.
  private static final double SCARCE_MEMORY_SHARE = 0.2;
  private static final double SCARCE_MEMORY_MILLISECONDS = 150;
  private static final double INITIAL_MEMORY_PER_WORK_TOKEN = 1.5;
  private static final double MINIMUM_MEMORY_PER_WORK_TOKEN = 0.5;
  private static final double MAXIMUM_MEMORY_PER_WORK_TOKEN = 8;
  private static final double INITIAL_MEMORY_PER_REQUEST = 2_000;
  private static final double MEMORY_SMOOTHING = 0.05;
  // A runner tells its state some hundred milliseconds late.
  private static final long STATE_DELAY_MILLISECONDS = 300;
  private static final double MAXIMUM_WORK_TOKENS = 10_000_000;
  private static final long UNSEEN_MILLISECONDS = 2_000;
  // Beyond this delay of the instance the times that it sees say little about runners.
  private static final double MAXIMUM_LEARNING_DELAY_MILLISECONDS = 30;

  private final LearnedRates rates;
  private final RunnerLoads loads;
  private final WorkLeft left = new WorkLeft();
  private final OutputLengths lengths = new OutputLengths();
  private final KnowledgeTable<RunnerState> states;
  private Map<String, Observed<RunnerState>> latestStates = new HashMap<>();
  private double memoryPerWorkToken = INITIAL_MEMORY_PER_WORK_TOKEN;
  private double memoryPerRequest = INITIAL_MEMORY_PER_REQUEST;
  private boolean learning = true;

  /**
   * Where a request may go. Immutable.
   *
   * @param runner the runner's identifier
   * @param slots requests that it runs concurrently
   * @param cacheTokens its token memory as configured; 0 if it has none
   * @param adapterPresent whether it has the adapter that the request needs, or none is needed
   */
  public record Place(
      String runner, Distance distance, int slots, long cacheTokens, boolean adapterPresent) {}

  /** Creates estimates from the loads, the rates and the runners' reported states. */
  public RunnerEstimates(
      LearnedRates rates, RunnerLoads loads, KnowledgeTable<RunnerState> states) {
    this.rates = rates;
    this.loads = loads;
    this.states = states;
  }

  /** Takes over what other instances and the runners have told; to be called often. */
  public void refresh(long nowMilliseconds) {
    latestStates = states.all(nowMilliseconds);
  }

  /** Sets by how much this instance itself is behind; to be called often. */
  public void instanceDelayed(double milliseconds) {
    left.instanceDelayed(milliseconds);
    learning = milliseconds <= MAXIMUM_LEARNING_DELAY_MILLISECONDS;
  }

  /** Returns what a request is likely to cost, whichever runner it goes to. */
  public RequestWork work(
      String route, String account, Optional<GenerationParameters> prompt, long bodyBytes) {
    if (prompt.isEmpty()) {
      int sizeClass = Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, bodyBytes));
      String key = "plain/" + route + '/' + sizeClass;
      return new RequestWork(
          key,
          rates.millisecondsPerToken(key),
          prompt,
          Optional.empty(),
          Optional.empty(),
          new OutputEstimate(0, 1),
          0);
    }
    GenerationParameters terms = prompt.get();
    RequestShape shape =
        new RequestShape(
            route,
            terms.model(),
            account,
            terms.promptTokens(),
            terms.outputTokens(),
            terms.outputHint());
    OutputEstimate output = lengths.estimate(shape);
    return new RequestWork(
        terms.model(),
        rates.millisecondsPerToken(terms.model()),
        prompt,
        Optional.of(SharedParts.of(terms)),
        Optional.of(shape),
        output,
        terms.promptTokens() + memoryOfOutput(terms, output));
  }

  private double memoryOfOutput(GenerationParameters terms, OutputEstimate output) {
    if (terms.outputTokens() <= 0) {
      return output.carefulTokens();
    }
    return lengths.knowsTokensPerEvent()
        ? Math.min(terms.outputTokens(), output.carefulTokens())
        : terms.outputTokens();
  }

  /** Returns a runner as a candidate for a request. */
  public RunnerCandidate candidate(Place place, RequestWork work, long now) {
    return work.prompt().isEmpty()
        ? plainCandidate(place, work, now)
        : generationCandidate(place, work, now);
  }

  private RunnerCandidate plainCandidate(Place place, RequestWork work, long now) {
    String runner = place.runner();
    RunnerLoads.NeighbourView neighbours = loads.neighbours(runner, now);
    double slowness = left.slowness(runner, now) / rates.relativeSpeed(runner);
    return new RunnerCandidate(
        runner,
        place.distance(),
        loads.own(runner).running() + neighbours.running(),
        place.slots(),
        0,
        RunnerLoads.WORK_MILLISECONDS_PER_TOKEN * slowness,
        RequestWork.PLAIN_TOKENS * work.millisecondsPerToken() * slowness,
        0,
        place.adapterPresent(),
        new RunnerCandidate.Outlook(
            0,
            left.overdueMilliseconds(runner, now),
            0,
            neighbours.ageMilliseconds(),
            unseenMilliseconds(neighbours, slowness),
            Room.FREE));
  }

  private RunnerCandidate generationCandidate(Place place, RequestWork work, long now) {
    String runner = place.runner();
    RunnerLoads.Load own = loads.own(runner);
    RunnerLoads.NeighbourView neighbours = loads.neighbours(runner, now);
    double writing = writing(runner, neighbours, now);
    double slowness = left.slowness(runner, now) / rates.relativeSpeed(runner);
    double millisecondsPerToken =
        RunnerLoads.WORK_MILLISECONDS_PER_TOKEN
            * slowness
            * (1 + READING_SHARE_PER_OUTPUT * writing);
    double workTokens = work.workTokens(loads.uncachedTokens(runner, work.parts().orElseThrow()));
    int running = own.running() + neighbours.running();
    TokenRoom.View memory = memory(place, neighbours, now);
    double delay =
        DELAY_SHARE_PER_RUNNING * running * workTokens * millisecondsPerToken
            + scarcityMilliseconds(memory);
    return new RunnerCandidate(
        runner,
        place.distance(),
        running,
        place.slots(),
        own.pendingPrefillTokens() + neighbours.pendingTokens(),
        millisecondsPerToken,
        0,
        workTokens,
        place.adapterPresent(),
        new RunnerCandidate.Outlook(
            firstStepsMilliseconds(writing) * slowness,
            left.overdueMilliseconds(runner, now),
            delay,
            neighbours.ageMilliseconds(),
            unseenMilliseconds(neighbours, slowness),
            TokenRoom.judge(
                memory, work.prompt().orElseThrow().promptTokens(), work.memoryTokens())));
  }

  private static double unseenMilliseconds(RunnerLoads.NeighbourView neighbours, double slowness) {
    return neighbours.arrivalsPerMillisecond()
        * neighbours.ageMilliseconds()
        * RunnerLoads.WORK_MILLISECONDS_PER_TOKEN
        * slowness;
  }

  private double writing(String runner, RunnerLoads.NeighbourView neighbours, long now) {
    return left.writing(runner, now) + WRITING_PER_NEIGHBOUR_REQUEST * neighbours.running();
  }

  private static double firstStepsMilliseconds(double writing) {
    return FIRST_STEPS_MILLISECONDS + FIRST_STEPS_MILLISECONDS_PER_OUTPUT * writing;
  }

  private static double scarcityMilliseconds(TokenRoom.View memory) {
    double plenty = SCARCE_MEMORY_SHARE * memory.totalTokens();
    if (plenty <= 0) {
      return 0;
    }
    return SCARCE_MEMORY_MILLISECONDS * Math.max(0, 1 - memory.freeTokens() / plenty);
  }

  private TokenRoom.View memory(Place place, RunnerLoads.NeighbourView neighbours, long now) {
    Observed<RunnerState> seen = latestStates.get(place.runner());
    if (seen == null || seen.value().totalTokens() <= 0) {
      double used =
          left.memoryTokensSince(place.runner(), Long.MIN_VALUE)
              + neighbours.running() * memoryPerRequest;
      return new TokenRoom.View(place.cacheTokens(), used, UNSEEN_MILLISECONDS, 0, 0);
    }
    long seenAt = seen.atMilliseconds() - STATE_DELAY_MILLISECONDS;
    double age = Math.max(0, now - seenAt);
    return new TokenRoom.View(
        seen.value().totalTokens(),
        seen.value().usedTokens(),
        age,
        left.memoryTokensSince(place.runner(), seenAt),
        neighbours.arrivalsPerMillisecond() * age * memoryPerWorkToken);
  }

  /**
   * Records that a request is sent.
   *
   * @return the work to pass to the other methods when the attempt advances
   */
  public AttemptWork sent(Place place, RequestWork work, long now) {
    RunnerCandidate candidate = candidate(place, work, now);
    double speed = rates.relativeSpeed(place.runner());
    double unit = speed / left.slowness(place.runner(), now);
    double own;
    double all;
    if (work.prompt().isEmpty()) {
      own = candidate.millisecondsPerRequest() * unit;
      all = Math.max(own, candidate.firstEventMilliseconds() * unit);
    } else {
      own =
          (candidate.uncachedPromptTokens() * candidate.millisecondsPerToken()
                  + candidate.outlook().firstStepsMilliseconds())
              * unit;
      all = own + candidate.pendingPrefillTokens() * candidate.millisecondsPerToken() * unit;
      recordMemory(work, candidate.uncachedPromptTokens());
    }
    loads.sent(place.runner(), pendingTokens(candidate));
    return left.started(
        place.runner(),
        new AttemptWork.Expectation(
            own,
            all,
            candidate.firstEventMilliseconds(),
            work.output().tokens(),
            work.memoryTokens(),
            pendingTokens(candidate)),
        now);
  }

  private void recordMemory(RequestWork work, double workTokens) {
    double sample =
        Math.max(
            MINIMUM_MEMORY_PER_WORK_TOKEN,
            Math.min(MAXIMUM_MEMORY_PER_WORK_TOKEN, work.memoryTokens() / Math.max(1, workTokens)));
    memoryPerWorkToken += MEMORY_SMOOTHING * (sample - memoryPerWorkToken);
    memoryPerRequest += MEMORY_SMOOTHING * (work.memoryTokens() - memoryPerRequest);
  }

  private static int pendingTokens(RunnerCandidate candidate) {
    return (int) Math.round(Math.min(MAXIMUM_WORK_TOKENS, candidate.uncachedPromptTokens()));
  }

  /**
   * Records that a runner began to answer, or that its whole answer arrived.
   *
   * @param near whether the way to the runner takes no considerable part of the time
   */
  public void firstEvent(AttemptWork attempt, RequestWork work, boolean near, long now) {
    if (!left.firstEvent(attempt, now)) {
      return;
    }
    String runner = attempt.runner();
    loads.prefillEnded(runner, attempt.expectation().pendingTokens());
    work.parts().ifPresent(parts -> loads.recordCachedParts(runner, parts));
    if (near && learning) {
      rates.observe(
          runner,
          work.paceKey(),
          attempt.expectation().workMilliseconds(),
          attempt.expectation().allWorkMilliseconds(),
          Math.max(1, now - attempt.sentAt()),
          now);
    }
  }

  /** Records that an attempt ended, however it did; may be called again. */
  public void ended(AttemptWork attempt) {
    if (!left.ended(attempt)) {
      return;
    }
    if (attempt.firstEventMilliseconds() < 0) {
      loads.prefillEnded(attempt.runner(), attempt.expectation().pendingTokens());
    }
    loads.ended(attempt.runner());
  }

  /** Learns from the number of events of an output that is complete. */
  public void outputCompleted(RequestWork work, int events) {
    work.shape().ifPresent(shape -> lengths.observe(shape, events));
  }

  /** Returns the number of tokens that the events of an output hold, as far as it is known. */
  public double outputTokens(int events) {
    return lengths.tokens(events);
  }

  /** Returns the time that each runner with any load needs for what is pending there. */
  public Map<String, Double> workLeftMilliseconds(long now) {
    Map<String, Double> workLeft = new HashMap<>();
    for (String runner : loads.allLoads(now).keySet()) {
      double pending =
          loads.own(runner).pendingPrefillTokens() + loads.neighbours(runner, now).pendingTokens();
      double reading =
          pending * RunnerLoads.WORK_MILLISECONDS_PER_TOKEN / rates.relativeSpeed(runner);
      workLeft.put(runner, Math.max(reading, left.overdueMilliseconds(runner, now)));
    }
    return workLeft;
  }

  /** Forgets what a process of a runner kept in memory, because it left or started again. */
  public void processEnded(String runner) {
    loads.processEnded(runner);
    left.forgetSlowness(runner);
  }
}
