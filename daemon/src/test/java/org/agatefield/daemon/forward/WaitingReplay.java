package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.agatefield.forwarding.AccountTable;
import org.agatefield.forwarding.AccountUsageSharing;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.GenerationParameters;
import org.agatefield.forwarding.IngressLimits;
import org.agatefield.forwarding.RequestMetadata;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RouteKind;
import org.agatefield.forwarding.RunnerCandidate;
import org.agatefield.forwarding.SendPolicy;
import org.agatefield.forwarding.ServicePressure;
import org.agatefield.forwarding.StartInTimePolicy;
import org.agatefield.forwarding.TokenQuota;
import org.agatefield.forwarding.WeightedService;
import org.agatefield.knowledge.AccountUsage;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.Observed;
import org.agatefield.knowledge.TargetPressure;

/**
 * Replays requests at several instances that share runners of one model, without a network and on a
 * clock of its own. Callers whose requests are refused come back once, at any instance, when they
 * were told to, but at the latest after a third of the time that they have left. Confined to one
 * thread.
 */
final class WaitingReplay {
  static final double MILLISECONDS_PER_TOKEN = 0.06;
  private static final String SERVICE = "pool";
  private static final String MODEL = "model";
  private static final long EXCHANGE_MILLISECONDS = 480;
  private static final long LOAD_REPORT_MILLISECONDS = 240;
  private static final long RETRY_MILLISECONDS = 60;
  private static final long SENDING_MILLISECONDS = 5;
  private static final double TIE_MILLISECONDS = 8;

  private final Random random = new Random(20_261_206);
  private final boolean allocated;
  private final int runners;
  private final List<Kind> kinds;
  private final ForwardingTable table;
  private final Map<String, ClientAccount> accounts = new HashMap<>();
  private final List<Node> nodes = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private final double[] freeAt;
  private double[] reportedFreeAt;
  private final Map<String, Outcomes> outcomes = new TreeMap<>();
  private boolean exchanging = true;
  private long sequence;
  private long now;

  /** A kind of request. Immutable. */
  record Kind(String name, int priority, long objective, long deadline, int tokens) {}

  /** What became of the requests of one name. */
  static final class Outcomes {
    int asked;
    int inTime;
    int late;
    int returned;
    int refusedAgain;
    int heldInVain;

    int served() {
      return inTime + late;
    }

    double servedShare() {
      return (double) served() / Math.max(1, asked);
    }

    double inTimeShare() {
      return (double) inTime / Math.max(1, asked);
    }

    @Override
    public String toString() {
      return String.format(
          "asked %d, in time %d, late %d, returned %d, refused again %d, held in vain %d",
          asked, inTime, late, returned, refusedAgain, heldInVain);
    }
  }

  private record Event(long at, long sequence, Runnable task) {}

  /**
   * Creates a replay.
   *
   * @param allocated whether room is allocated among all requests; otherwise each instance sends
   *     the most urgent request first and says 400 ms to those that it refuses
   * @param quotas the quotas of the client accounts; empty for a deployment without accounts
   */
  WaitingReplay(
      boolean allocated,
      int instances,
      int runners,
      List<Kind> kinds,
      Map<String, TokenQuota> quotas) {
    this.allocated = allocated;
    this.runners = runners;
    this.kinds = kinds;
    this.freeAt = new double[runners];
    this.reportedFreeAt = new double[runners];
    quotas.forEach(
        (name, quota) ->
            accounts.put(
                name, new ClientAccount(name, Set.of(), OptionalInt.empty(), Optional.of(quota))));
    this.table =
        new ForwardingTable(
            1,
            kinds.stream().map(WaitingReplay::route).toList(),
            List.of(),
            new AccountTable(List.copyOf(accounts.values())),
            new IngressLimits(16_384, 1_000_000, 5_000, 5_000));
    for (int index = 0; index < instances; index++) {
      nodes.add(new Node());
    }
    every(LOAD_REPORT_MILLISECONDS, () -> reportedFreeAt = freeAt.clone());
    every(EXCHANGE_MILLISECONDS, this::exchange);
  }

  private static Route route(Kind kind) {
    return new Route(
        kind.name(),
        "host",
        "/" + kind.name() + "/",
        RouteKind.STREAM,
        kind.deadline(),
        kind.objective(),
        400,
        kind.priority(),
        1,
        false,
        false,
        List.of(new WeightedService(SERVICE, 1)));
  }

  /** Returns the requests a second that all runners can read, of a size. */
  double capacityPerSecond(int tokens) {
    return runners * 1_000 / (tokens * MILLISECONDS_PER_TOKEN);
  }

  /** Adds requests of a kind at a rate a second that changes with the time in seconds. */
  void arrive(String name, int kind, String account, DoubleUnaryOperator rate, double seconds) {
    double at = 0;
    while (at < seconds) {
      double perSecond = rate.applyAsDouble(at);
      if (perSecond <= 0) {
        at += 0.1;
        continue;
      }
      at += -Math.log(1 - random.nextDouble()) / perSecond;
      long arrivesAt = (long) (at * 1_000);
      Kind each = kinds.get(kind);
      after(arrivesAt, () -> new Caller(name, each, account, now).attempt());
    }
  }

  /** From a time on nothing that instances share reaches others. */
  void cutExchangeAt(long milliseconds) {
    after(milliseconds, () -> exchanging = false);
  }

  /** At a time an instance forgets all that it knows, and what waits there is refused. */
  void restartAt(long milliseconds, int instance) {
    after(
        milliseconds,
        () -> {
          Node ended = nodes.get(instance);
          nodes.set(instance, new Node());
          List.copyOf(ended.held).forEach(request -> request.refuse(100));
        });
  }

  Map<String, Outcomes> run(double seconds) {
    while (!events.isEmpty() && events.peek().at() <= seconds * 1_000) {
      Event event = events.poll();
      now = event.at();
      event.task().run();
    }
    return outcomes;
  }

  private void after(long milliseconds, Runnable task) {
    events.add(new Event(now + Math.max(0, milliseconds), sequence++, task));
  }

  private void every(long milliseconds, Runnable task) {
    after(
        milliseconds,
        () -> {
          task.run();
          every(milliseconds, task);
        });
  }

  private void exchange() {
    nodes.forEach(node -> node.room.publish(now));
    if (!exchanging) {
      return;
    }
    for (int from = 0; from < nodes.size(); from++) {
      for (Node to : nodes) {
        if (to != nodes.get(from)) {
          copy(nodes.get(from).usage, to.usage, "node-" + from);
          copy(nodes.get(from).pressure, to.pressure, "node-" + from);
        }
      }
    }
  }

  private <V> void copy(KnowledgeTable<V> from, KnowledgeTable<V> to, String source) {
    Map<String, Observed<V>> facts = from.select(List.of(), 0, 160, now).facts();
    facts.forEach((subject, observed) -> to.receive(source, subject, observed, now));
  }

  /** An instance. */
  private final class Node {
    private final KnowledgeTable<AccountUsage> usage =
        new KnowledgeTable<>(AccountUsageSharing.KIND);
    private final KnowledgeTable<TargetPressure> pressure =
        new KnowledgeTable<>(TargetPressure.KIND);
    private final RoomAllocation room =
        new RoomAllocation(
            () -> Optional.of(table),
            new StartInTimePolicy(),
            new AccountUsageSharing(usage),
            new ServicePressure(pressure));
    private final WaitingRequests waiting =
        new WaitingRequests(WaitingReplay.this::after, () -> now, room.order());
    private final List<Attempt> held = new ArrayList<>();
    private final double[] ownTokens = new double[runners];
    private boolean retryScheduled;

    RunnerCandidate best(int tokens) {
      double shortest = Double.MAX_VALUE;
      for (int runner = 0; runner < runners; runner++) {
        shortest = Math.min(shortest, backlog(runner));
      }
      List<Integer> ties = new ArrayList<>();
      for (int runner = 0; runner < runners; runner++) {
        if (backlog(runner) <= shortest + TIE_MILLISECONDS) {
          ties.add(runner);
        }
      }
      int best = ties.get(random.nextInt(ties.size()));
      return new RunnerCandidate(
          Integer.toString(best),
          RunnerCandidate.Distance.SAME_DOMAIN,
          0,
          64,
          backlog(best) / MILLISECONDS_PER_TOKEN,
          MILLISECONDS_PER_TOKEN,
          0,
          tokens,
          true);
    }

    /** Returns the backlog as last reported, with what this instance has sent since. */
    private double backlog(int runner) {
      return Math.max(0, reportedFreeAt[runner] - now) + ownTokens[runner] * MILLISECONDS_PER_TOKEN;
    }

    /** Retries all, most urgent first, as without an allocation of room. */
    void scheduleRetry() {
      if (retryScheduled) {
        return;
      }
      retryScheduled = true;
      after(
          RETRY_MILLISECONDS,
          () -> {
            retryScheduled = false;
            List<Attempt> retried = new ArrayList<>(held);
            held.clear();
            retried.sort(
                Comparator.comparingInt((Attempt each) -> each.caller.kind.priority())
                    .thenComparingLong(each -> each.timing.deadline()));
            retried.forEach(Attempt::retry);
          });
    }
  }

  /** A caller that asks once and comes back once. */
  private final class Caller {
    private final Kind kind;
    private final String account;
    private final long askedAt;
    private final Outcomes outcome;
    private int attempts;

    Caller(String name, Kind kind, String account, long askedAt) {
      this.kind = kind;
      this.account = account;
      this.askedAt = askedAt;
      this.outcome = outcomes.computeIfAbsent(name, ignored -> new Outcomes());
      outcome.asked++;
    }

    long left() {
      return askedAt + kind.deadline() - now;
    }

    void attempt() {
      attempts++;
      outcome.returned += attempts > 1 ? 1 : 0;
      new Attempt(this, nodes.get(random.nextInt(nodes.size()))).start();
    }

    void refused(long retryAfter) {
      if (attempts > 1) {
        outcome.refusedAgain++;
        return;
      }
      after(Math.min(retryAfter, left() / 3), this::attempt);
    }

    void answered(double beginsAt) {
      outcome.inTime += beginsAt <= askedAt + kind.objective() ? 1 : 0;
      outcome.late +=
          beginsAt > askedAt + kind.objective() && beginsAt <= askedAt + kind.deadline() ? 1 : 0;
    }
  }

  /** One request at an instance. */
  private final class Attempt implements WaitingRequests.WaitingRequest {
    private final Caller caller;
    private final Node node;
    private final RequestTiming timing;
    private final RoomClaim claim;
    private boolean inTurn;
    private boolean over;
    private boolean counted;

    Attempt(Caller caller, Node node) {
      this.caller = caller;
      this.node = node;
      Kind kind = caller.kind;
      this.timing = new RequestTiming(route(kind), OptionalLong.of(caller.left()), now);
      RequestMetadata terms =
          new RequestMetadata(
              "id",
              OptionalLong.of(caller.left()),
              Optional.empty(),
              Optional.of(
                  new GenerationParameters(MODEL, Optional.empty(), kind.tokens(), 1, List.of())),
              Optional.empty(),
              Optional.empty());
      this.claim =
          node.room.claim(
              SERVICE,
              route(kind),
              kind.priority(),
              terms,
              Optional.ofNullable(accounts.get(caller.account)),
              timing,
              now);
    }

    void start() {
      after(timing.remainingMilliseconds(now), this::expire);
      select();
    }

    private void expire() {
      if (!over) {
        over = true;
        stopWaiting();
        caller.outcome.heldInVain++;
      }
    }

    @Override
    public RoomClaim claim() {
      return claim;
    }

    @Override
    public Optional<String> permitKey() {
      return Optional.empty();
    }

    @Override
    public boolean lacksRoom() {
      return counted;
    }

    @Override
    public void retry() {
      stopWaiting();
      if (!over) {
        inTurn = true;
        select();
        inTurn = false;
      }
    }

    private void select() {
      RunnerCandidate best = node.best(caller.kind.tokens());
      SendPolicy.Timing urgency = timing.urgency(now);
      SendPolicy.Decision decision =
          allocated
              ? node.room.decide(claim, best, urgency, now)
              : new StartInTimePolicy().decide(best, urgency);
      if (decision == SendPolicy.Decision.SEND) {
        sendInTurn(best);
      } else if (allocated) {
        holdOrRefuse(best, decision);
      } else if (decision == SendPolicy.Decision.WAIT) {
        node.held.add(this);
        node.scheduleRetry();
      } else {
        refuse(200 + random.nextInt(400));
      }
    }

    private void sendInTurn(RunnerCandidate best) {
      if (allocated && !inTurn && node.waiting.hasLine(claim)) {
        startWaiting();
        node.waiting.roomChanged();
        return;
      }
      over = true;
      int runner = Integer.parseInt(best.id());
      int tokens = caller.kind.tokens();
      node.room.sent(claim, now);
      node.ownTokens[runner] += tokens;
      after(
          LOAD_REPORT_MILLISECONDS,
          () -> node.ownTokens[runner] = Math.max(0, node.ownTokens[runner] - tokens));
      freeAt[runner] =
          Math.max(freeAt[runner], now + SENDING_MILLISECONDS) + tokens * MILLISECONDS_PER_TOKEN;
      caller.answered(freeAt[runner]);
    }

    private void holdOrRefuse(RunnerCandidate best, SendPolicy.Decision decision) {
      RoomAllocation.Verdict verdict =
          node.room.holdOrRefuse(
              claim, node.waiting.place(claim, now), best, timing, decision, now);
      if (verdict.held()) {
        startWaiting();
        return;
      }
      node.room.refused(claim, now);
      refuse(Math.max(400, verdict.returnMilliseconds()));
    }

    void refuse(long retryAfter) {
      over = true;
      stopWaiting();
      caller.refused(retryAfter);
    }

    private void startWaiting() {
      counted = true;
      node.held.add(this);
      node.room.waiting(claim, 1);
      node.waiting.add(this);
    }

    private void stopWaiting() {
      node.held.remove(this);
      if (counted) {
        counted = false;
        node.room.waiting(claim, -1);
        node.waiting.remove(this);
      }
    }
  }
}
