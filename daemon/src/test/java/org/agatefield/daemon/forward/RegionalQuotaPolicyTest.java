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

/** Simulates a fleet in two regions with partitions, restarts and message delays. */
class RegionalQuotaPolicyTest {
  private static final int INSTANCES = 20;
  private static final double REQUEST_TOKENS = 2_400;
  private static final double WINDOW_SECONDS = 8;
  private static final double OVERAGE = 0.1;
  private static final double SLACK = 17_000;
  // Time until a lost instance is detected.
  private static final long DETECTION_MILLISECONDS = 2_500;
  private static final long REGION_MILLISECONDS = 30;
  private static final long LOCAL_MILLISECONDS = 2;

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final List<Grant> grants = new ArrayList<>();
  private final Set<String> isolated = new HashSet<>();
  private long now;
  private long scheduled;
  private int refused;
  // Share of the granted requests that are refunded because they were refused for another reason.
  private double refundedShare;
  private boolean withinQuota; // Whether the account requests no more than its quota allows.
  private QuotaBucket allowance; // The quota without any tolerance.

  private record Event(long at, long number, Runnable task) {}

  private record Grant(long at, double tokens) {}

  /** One instance process; a restarted process is another member under the same name. */
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
              (delay, task) -> schedule(delay, ifRunning(task)),
              () -> now,
              this,
              new QuotaTolerance(WINDOW_SECONDS, OVERAGE, SLACK),
              size,
              () -> new AccountTable(List.of(this.account)));
    }

    /** Runs the task only if this process is still running. */
    private Runnable ifRunning(Runnable task) {
      return () -> {
        if (members.get(self.id()) == this) {
          task.run();
        }
      };
    }

    @Override
    public Instance self() {
      return self;
    }

    /** Includes reachable instances, and unreachable ones until their loss is detected. */
    @Override
    public List<Instance> answering() {
      List<Instance> visible = new ArrayList<>();
      for (Member other : members.values()) {
        if (other == this || reaches(self.id(), other.self.id())) {
          lostAt.remove(other.self.id());
          visible.add(other.self);
        } else if (now - lostAt.computeIfAbsent(other.self.id(), id -> now)
            < DETECTION_MILLISECONDS) {
          visible.add(other.self);
        }
      }
      if (!visible.equals(answering)) {
        answering = visible;
      }
      return answering;
    }

    @Override
    public boolean isIsolated() {
      return isolated.contains(self.id()) && now - isolatedAt > 1_500;
    }

    @Override
    public void send(Instance to, PeerMessage message) {
      if (reaches(self.id(), to.id())) {
        schedule(
            latency(self, to),
            () -> members.get(to.id()).quotas.tokensReturned((PeerMessage.QuotaReturn) message));
      }
    }

    @Override
    public CompletableFuture<PeerMessage> request(Instance to, PeerMessage message, long limit) {
      CompletableFuture<PeerMessage> answered = new CompletableFuture<>();
      schedule(
          limit,
          ifRunning(() -> answered.completeExceptionally(new TimeoutException("no answer"))));
      long latency = latency(self, to);
      if (reaches(self.id(), to.id())) {
        schedule(latency, () -> deliver(to, message, answered, latency));
      }
      return answered;
    }

    private void deliver(
        Instance to, PeerMessage message, CompletableFuture<PeerMessage> answered, long latency) {
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
                      latency,
                      ifRunning(
                          () -> {
                            if (reaches(self.id(), to.id())) {
                              answered.complete(answer);
                            }
                          })));
    }
  }

  private long isolatedAt;

  private static long latency(Instance from, Instance to) {
    boolean sameRegion = from.failureDomain().region().equals(to.failureDomain().region());
    return sameRegion ? LOCAL_MILLISECONDS : REGION_MILLISECONDS;
  }

  private boolean reaches(String from, String to) {
    return from.equals(to) || (!isolated.contains(from) && !isolated.contains(to));
  }

  private void schedule(long delay, Runnable task) {
    events.add(new Event(now + delay, scheduled++, task));
  }

  private void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event next = events.poll();
      now = Math.max(now, next.at());
      next.task().run();
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
    allowance = new QuotaBucket(new TokenRate(terms.perSecond(), terms.burst()), -10_000);
    for (int index = 0; index < INSTANCES; index++) {
      startMember(index, account);
    }
    schedule(RegionalQuotaPolicy.REFRESH_MILLISECONDS, this::refreshAll);
    runUntil(15_000);
  }

  private void startMember(int index, ClientAccount account) {
    FailureDomain domain = new FailureDomain("region-" + index % 2, "domain-" + index % 6);
    Address address = new Address("10.0.0." + (index + 1), 80);
    Instance instance = new Instance("i-" + index, address, address, domain, InstanceState.LIVE);
    members.put(instance.id(), new Member(instance, account));
  }

  private void refreshAll() {
    members.values().forEach(member -> member.size.sample(now));
    members.values().forEach(member -> member.quotas.refresh(now));
    schedule(RegionalQuotaPolicy.REFRESH_MILLISECONDS, this::refreshAll);
  }

  private void sendRequest(ClientAccount account, Random random, Optional<Integer> region) {
    if (withinQuota && !allowance.tryTake(REQUEST_TOKENS, now)) {
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
          if (decision instanceof QuotaPolicy.Decision.Granted && refundedShare > 0) {
            if (random.nextDouble() < refundedShare) {
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

  /** Sends requests at random times with the given mean rate. */
  private void traffic(
      ClientAccount account, double perSecond, long forMilliseconds, Random random, int region) {
    long end = now + forMilliseconds;
    double at = now;
    while (at < end) {
      at += -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
      long delay = (long) at - now;
      schedule(
          delay,
          () -> sendRequest(account, random, region < 0 ? Optional.empty() : Optional.of(region)));
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
  void floodedAccountStaysWithinQuotaAcrossPartitionsAndRestarts(
      @ForAll @IntRange(max = 1_000_000) int seed,
      @ForAll @IntRange(min = 1, max = 35) int requestsPerSecond) {
    members.clear();
    events.clear();
    grants.clear();
    isolated.clear();
    now = 0;
    Random random = new Random(seed);
    refundedShare = random.nextInt(3) * 0.3;
    double perSecond = requestsPerSecond * REQUEST_TOKENS;
    ClientAccount account = account(perSecond);
    startFleet(account);
    traffic(account, 4 * requestsPerSecond, 30_000, random, -1);
    runUntil(now + random.nextInt(5_000));
    isolatedAt = now;
    members.keySet().stream().filter(id -> random.nextDouble() < 0.35).forEach(isolated::add);
    runUntil(now + 12_000);
    isolated.clear();
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
  void accountBelowQuotaIsRefusedLessThanOncePerThousandRequests() {
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
  void refundedTokensAreGrantedToOtherRequests() {
    double perSecond = 10 * REQUEST_TOKENS;
    ClientAccount account = account(perSecond);
    startFleet(account);
    refundedShare = 0.5;
    traffic(account, 20, 20_000, new Random(5), -1);
    runUntil(now + 21_000);
    assertTrue(grants.size() > 0.9 * 10 * 20, grants.size() + " run");
    assertQuotaHolds(perSecond);
  }

  @Test
  void leavingHolderTransfersItsTokensToTheNextHolder() {
    ClientAccount account = account(4_200);
    startFleet(account);
    List<Member> holders =
        members.values().stream().filter(member -> member.quotas.holds("account")).toList();
    assertEquals(2, holders.size());
    for (Member holder : holders) {
      holder.quotas.transferToNextHolders();
    }
    runUntil(now + 100);
    holders.forEach(holder -> members.remove(holder.self.id()));
    for (int request = 0; request < 4; request++) {
      sendRequest(account, new Random(request), Optional.empty());
    }
    runUntil(now + 400);
    assertEquals(4, grants.size(), refused + " refused");
  }

  @Test
  void loweredQuotaIsEnforcedOneWindowAfterAllInstancesKnowIt() {
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
  void unusedShareOfOneRegionIsAvailableToTheOtherWithinOneSecond() {
    withinQuota = true;
    double perSecond = 10 * REQUEST_TOKENS;
    ClientAccount account = account(perSecond);
    startFleet(account);
    traffic(account, 8, 20_000, new Random(3), 0);
    runUntil(now + 21_000);
    assertTrue(refused == 0, refused + " refused of " + (refused + grants.size()));
  }

  @Test
  void equalSharesRefuseAnAccountBelowItsQuota() {
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
