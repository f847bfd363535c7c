package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.agatefield.admission.FleetSize;
import org.agatefield.admission.QuotaBucket;
import org.agatefield.admission.QuotaTolerance;
import org.agatefield.admission.TokenRate;
import org.agatefield.forwarding.AccountTable;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.TokenQuota;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** A fleet in two regions on simulated time, with cuts, restarts and delays. */
class RegionalQuotaPolicyTest {
  private static final int INSTANCES = 20;
  private static final double REQUEST_TOKENS = 2_400;
  private static final double WINDOW_SECONDS = 8;
  private static final double OVERAGE = 0.1;
  private static final double SLACK = 17_000;
  private static final long BELIEF_MILLISECONDS = 2_500; // until a lost instance is noticed
  private static final long REGION_MILLISECONDS = 30;
  private static final long NEAR_MILLISECONDS = 2;

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final List<Grant> grants = new ArrayList<>();
  private final Set<String> cut = new HashSet<>();
  private long now;
  private long scheduled;
  private int refused;
  private double unusedShare; // of the granted requests that are refused for another reason
  private boolean withinQuota; // whether the account asks for no more than it may
  private QuotaBucket quota; // what the account may ask for, without any tolerance

  private record Event(long at, long number, Runnable work) {}

  private record Grant(long at, double tokens) {}

  /** One instance; another life of it is another member under the same name. */
  private final class Member implements RegionalQuotaPolicy.Fleet {
    private final Instance self;
    private final RegionalQuotaPolicy quotas;
    private ClientAccount account;
    private final Map<String, Long> lostAt = new LinkedHashMap<>();
    private final FleetSize size = new FleetSize(() -> answering().size());
    private List<Instance> answering = List.of();

    Member(Instance self, ClientAccount account) {
      this.self = self;
      this.account = account;
      this.quotas =
          new RegionalQuotaPolicy(
              (delay, work) -> schedule(delay, whileAlive(work)),
              () -> now,
              this,
              new QuotaTolerance(WINDOW_SECONDS, OVERAGE, SLACK),
              size,
              () -> new AccountTable(List.of(this.account)));
    }

    /** Work of a process ends with it. */
    private Runnable whileAlive(Runnable work) {
      return () -> {
        if (members.get(self.id()) == this) {
          work.run();
        }
      };
    }

    @Override
    public Instance self() {
      return self;
    }

    /** Believes in those that are reached, and for a while in those that no longer are. */
    @Override
    public List<Instance> answering() {
      List<Instance> seen = new ArrayList<>();
      for (Member other : members.values()) {
        if (other == this || reaches(self.id(), other.self.id())) {
          lostAt.remove(other.self.id());
          seen.add(other.self);
        } else if (now - lostAt.computeIfAbsent(other.self.id(), id -> now) < BELIEF_MILLISECONDS) {
          seen.add(other.self);
        }
      }
      if (!seen.equals(answering)) {
        answering = seen;
      }
      return answering;
    }

    @Override
    public boolean isIsolated() {
      return cut.contains(self.id()) && now - cutAt > 1_500;
    }

    @Override
    public void send(Instance to, PeerMessage message) {
      if (reaches(self.id(), to.id())) {
        schedule(
            way(self, to),
            () -> members.get(to.id()).quotas.heard((PeerMessage.QuotaReturn) message));
      }
    }

    @Override
    public CompletableFuture<PeerMessage> request(Instance to, PeerMessage message, long limit) {
      CompletableFuture<PeerMessage> answered = new CompletableFuture<>();
      schedule(
          limit,
          whileAlive(() -> answered.completeExceptionally(new TimeoutException("no answer"))));
      long way = way(self, to);
      if (reaches(self.id(), to.id())) {
        schedule(way, () -> deliver(to, message, answered, way));
      }
      return answered;
    }

    private void deliver(
        Instance to, PeerMessage message, CompletableFuture<PeerMessage> answered, long way) {
      Member receiver = members.get(to.id());
      if (receiver == null || !reaches(self.id(), to.id())) {
        return;
      }
      receiver
          .quotas
          .answer((PeerMessage.QuotaRequest) message)
          .thenAccept(
              answer ->
                  schedule(
                      way,
                      whileAlive(
                          () -> {
                            if (reaches(self.id(), to.id())) {
                              answered.complete(answer);
                            }
                          })));
    }
  }

  private long cutAt;

  private static long way(Instance from, Instance to) {
    boolean near = from.failureDomain().region().equals(to.failureDomain().region());
    return near ? NEAR_MILLISECONDS : REGION_MILLISECONDS;
  }

  private boolean reaches(String from, String to) {
    return from.equals(to) || (!cut.contains(from) && !cut.contains(to));
  }

  private void schedule(long delay, Runnable work) {
    events.add(new Event(now + delay, scheduled++, work));
  }

  private void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event next = events.poll();
      now = Math.max(now, next.at());
      next.work().run();
    }
    now = end;
  }

  private static ClientAccount account(double perSecond) {
    return new ClientAccount(
        "account",
        Set.of(),
        OptionalInt.empty(),
        Optional.of(new TokenQuota(perSecond, perSecond, TokenQuota.Unit.TOKENS, 200)));
  }

  private void startFleet(ClientAccount account) {
    TokenQuota terms = account.quota().orElseThrow();
    quota = new QuotaBucket(new TokenRate(terms.perSecond(), terms.burst()), -10_000);
    for (int index = 0; index < INSTANCES; index++) {
      startMember(index, account);
    }
    schedule(RegionalQuotaPolicy.KEEP_MILLISECONDS, this::keepAll);
    runUntil(15_000);
  }

  private void startMember(int index, ClientAccount account) {
    FailureDomain domain = new FailureDomain("region-" + index % 2, "domain-" + index % 6);
    Address address = new Address("10.0.0." + (index + 1), 80);
    Instance instance = new Instance("i-" + index, address, address, domain, InstanceState.LIVE);
    members.put(instance.id(), new Member(instance, account));
  }

  private void keepAll() {
    members.values().forEach(member -> member.size.sample(now));
    members.values().forEach(member -> member.quotas.keep(now));
    schedule(RegionalQuotaPolicy.KEEP_MILLISECONDS, this::keepAll);
  }

  private void ask(ClientAccount account, Random random, Optional<Integer> region) {
    if (withinQuota && !quota.tryTake(REQUEST_TOKENS, now)) {
      return;
    }
    List<Member> all =
        members.values().stream()
            .filter(
                member ->
                    region.isEmpty()
                        || member.self.failureDomain().region().endsWith("-" + region.get()))
            .toList();
    Member member = all.get(random.nextInt(all.size()));
    member.quotas.decide(
        account,
        REQUEST_TOKENS,
        1_500,
        decision -> {
          if (decision instanceof QuotaPolicy.Decision.Granted && unusedShare > 0) {
            if (random.nextDouble() < unusedShare) {
              schedule(200, () -> member.quotas.refund(account, REQUEST_TOKENS));
              return;
            }
          }
          if (decision instanceof QuotaPolicy.Decision.Granted) {
            grants.add(new Grant(now, REQUEST_TOKENS));
          } else {
            refused++;
          }
        });
  }

  /** Sends requests at random moments around a rate. */
  private void traffic(
      ClientAccount account, double perSecond, long forMilliseconds, Random random, int region) {
    long end = now + forMilliseconds;
    double at = now;
    while (at < end) {
      at += -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
      long delay = (long) at - now;
      schedule(
          delay, () -> ask(account, random, region < 0 ? Optional.empty() : Optional.of(region)));
    }
  }

  private void assertQuotaHolds(double perSecond) {
    double allowed = (perSecond * WINDOW_SECONDS + perSecond) * (1 + OVERAGE) + SLACK;
    for (int first = 0; first < grants.size(); first++) {
      double sum = 0;
      for (int last = first;
          last < grants.size()
              && grants.get(last).at() - grants.get(first).at() < WINDOW_SECONDS * 1_000;
          last++) {
        sum += grants.get(last).tokens();
      }
      assertTrue(sum <= allowed, sum + " of " + allowed + " from " + grants.get(first).at());
    }
  }

  @Property(tries = 150, seed = "4711")
  void floodedQuotaHoldsOverCutsAndRestartsOfSomeOrAll(
      @ForAll @IntRange(max = 1_000_000) int seed,
      @ForAll @IntRange(min = 1, max = 35) int requestsPerSecond) {
    members.clear();
    events.clear();
    grants.clear();
    cut.clear();
    now = 0;
    Random random = new Random(seed);
    unusedShare = random.nextInt(3) * 0.3;
    double perSecond = requestsPerSecond * REQUEST_TOKENS;
    ClientAccount account = account(perSecond);
    startFleet(account);
    traffic(account, 4 * requestsPerSecond, 30_000, random, -1);
    runUntil(now + random.nextInt(5_000));
    cutAt = now;
    members.keySet().stream().filter(id -> random.nextDouble() < 0.35).forEach(cut::add);
    runUntil(now + 12_000);
    cut.clear();
    runUntil(now + random.nextInt(4_000));
    double restarted = random.nextBoolean() ? 1 : 0.2;
    for (int index = 0; index < INSTANCES; index++) {
      if (random.nextDouble() < restarted) {
        startMember(index, account);
      }
    }
    runUntil(now + 12_000);
    assertQuotaHolds(perSecond);
  }

  @Test
  void accountBelowItsQuotaIsRefusedLessThanOnceInThousand() {
    withinQuota = true;
    double requestsPerSecond = 4_200 / REQUEST_TOKENS;
    ClientAccount account = account(4_200);
    startFleet(account);
    Random random = new Random(7);
    traffic(account, requestsPerSecond / 1.8, 2_000_000, random, -1);
    runUntil(now + 2_005_000);
    double share = (double) refused / (refused + grants.size());
    assertTrue(share < 0.001, refused + " refused of " + (refused + grants.size()));
    assertQuotaHolds(4_200);
  }

  @Test
  void tokensOfRequestsThatWereNotRunServeOthers() {
    double perSecond = 10 * REQUEST_TOKENS;
    ClientAccount account = account(perSecond);
    startFleet(account);
    unusedShare = 0.5;
    traffic(account, 20, 20_000, new Random(5), -1);
    runUntil(now + 21_000);
    assertTrue(grants.size() > 0.9 * 10 * 20, grants.size() + " run");
    assertQuotaHolds(perSecond);
  }

  @Test
  void holderThatLeavesHandsItsTokensToTheNextOne() {
    ClientAccount account = account(4_200);
    startFleet(account);
    List<Member> holders =
        members.values().stream().filter(member -> member.quotas.holds("account")).toList();
    assertEquals(2, holders.size());
    for (Member holder : holders) {
      holder.quotas.handOver();
    }
    runUntil(now + 100);
    holders.forEach(holder -> members.remove(holder.self.id()));
    for (int request = 0; request < 4; request++) {
      ask(account, new Random(request), Optional.empty());
    }
    runUntil(now + 400);
    assertEquals(4, grants.size(), refused + " refused");
  }

  @Test
  void lowerQuotaHoldsOneWindowAfterEachInstanceKnowsIt() {
    ClientAccount before = account(35 * REQUEST_TOKENS);
    startFleet(before);
    ClientAccount after = account(2 * REQUEST_TOKENS);
    members.values().forEach(member -> member.account = after);
    Random random = new Random(11);
    traffic(after, 40, 20_000, random, -1);
    runUntil(now + 8_000);
    grants.clear();
    runUntil(now + 12_000);
    assertQuotaHolds(2 * REQUEST_TOKENS);
  }

  @Test
  void partOfRegionThatUsesNoneReachesTheOtherWithinSecond() {
    withinQuota = true;
    double perSecond = 10 * REQUEST_TOKENS;
    ClientAccount account = account(perSecond);
    startFleet(account);
    traffic(account, 8, 20_000, new Random(3), 0);
    runUntil(now + 21_000);
    assertTrue(refused == 0, refused + " refused of " + (refused + grants.size()));
  }

  @Test
  void equalPartsRefuseAnAccountBelowItsQuota() {
    ClientAccount account = account(4_200);
    EqualShareQuotaPolicy quotas =
        new EqualShareQuotaPolicy(
            new QuotaTolerance(WINDOW_SECONDS, OVERAGE, SLACK),
            new FleetSize(() -> INSTANCES),
            () -> now);
    List<QuotaPolicy.Decision> decisions = new ArrayList<>();
    quotas.decide(account, REQUEST_TOKENS, 0, decisions::add);
    assertEquals(QuotaPolicy.Decision.Exhausted.class, decisions.get(0).getClass());
  }
}
