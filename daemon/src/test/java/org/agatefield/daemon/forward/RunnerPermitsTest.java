package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.agatefield.admission.FleetSize;
import org.agatefield.daemon.forward.wire.RateLimitAnnouncement;
import org.agatefield.daemon.forward.wire.ResponseKind;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.peer.PeerMessage;
import org.agatefield.peer.PeerRefusalException;
import org.junit.jupiter.api.Test;

/** Simulates a fleet in two regions whose instances send to one limited runner. */
class RunnerPermitsTest {
  private static final RunnerEntry RUNNER =
      new RunnerEntry(
          "r",
          1,
          OptionalLong.empty(),
          "service",
          new Address("10.0.1.1", 80),
          "domain-0",
          6,
          false,
          OptionalLong.empty(),
          Optional.empty(),
          Set.of(),
          Set.of());
  // The rule of the users' platform.
  private static final long CONTACT_MILLISECONDS = 4_000;
  private static final long WINDOW_MILLISECONDS = 4_000;
  private static final double ALLOWED_FACTOR = 1.5;
  private static final int ALLOWED_EXTRA = 5;
  private static final long TOLD_MILLISECONDS = 500;

  private static final long DETECTION_MILLISECONDS = 1_500;
  private static final long REGION_MILLISECONDS = 30;
  private static final long LOCAL_MILLISECONDS = 2;
  private static final long RESPONSE_MILLISECONDS = 100;

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<String, Long> excusedUntil = new HashMap<>();
  private long now;
  private long scheduled;
  private int refused;
  private double limit;

  private record Event(long at, long number, Runnable task) {}

  private record Arrival(long at, String instance) {}

  /** One instance process. */
  private final class Member implements RunnerPermits.Fleet, RunnerPermits.Runners {
    private final Instance self;
    private final boolean supportsPermits;
    private final FleetSize size = new FleetSize(() -> answering().size());
    private final RunnerLimits limits = new RunnerLimits(() -> now, this::broadcast);
    private final RunnerPermits permits = new RunnerPermits(() -> now, this, size, limits, this);
    private final Map<String, Long> lostAt = new HashMap<>();
    private List<Instance> answering = List.of();
    private boolean running = true;
    private boolean isolated;
    private boolean failsImmediately;
    private int requestCount;
    private long toldAt = Long.MAX_VALUE;

    Member(Instance self, boolean supportsPermits) {
      this.self = self;
      this.supportsPermits = supportsPermits;
    }

    @Override
    public Instance self() {
      return self;
    }

    /** Includes unreachable instances until their loss is detected. */
    @Override
    public List<Instance> answering() {
      List<Instance> visible = new ArrayList<>();
      for (Member other : members.values()) {
        if (other == this || reaches(this, other)) {
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

    private void broadcast(PeerMessage notice) {
      for (Member other : List.copyOf(members.values())) {
        if (other != this && reaches(this, other) && other.supportsPermits) {
          schedule(
              latency(self, other.self),
              () -> other.limits.noticeReceived((PeerMessage.RunnerLimitNotice) notice));
        }
      }
    }

    @Override
    public CompletableFuture<PeerMessage> request(Instance to, PeerMessage message, long limit) {
      requestCount++;
      CompletableFuture<PeerMessage> answered = new CompletableFuture<>();
      if (failsImmediately) {
        schedule(1, () -> answered.completeExceptionally(new ConnectException("refused")));
        return answered;
      }
      schedule(limit, () -> answered.completeExceptionally(new TimeoutException("no answer")));
      Member receiver = members.get(to.id());
      long latency = latency(self, to);
      if (receiver != null && reaches(this, receiver)) {
        schedule(
            latency,
            () -> {
              if (!receiver.supportsPermits) {
                answered.completeExceptionally(new PeerRefusalException("unknown kind"));
                return;
              }
              PeerMessage answer = receiver.permits.answer((PeerMessage.PermitRequest) message);
              schedule(latency, () -> answered.complete(answer));
            });
      }
      return answered;
    }

    @Override
    public Optional<RunnerEntry> entry(String id) {
      return Optional.of(RUNNER);
    }

    @Override
    public Optional<String> region(RunnerEntry runner) {
      return Optional.of("region-0");
    }

    void sendRequest() {
      if (!running) {
        return;
      }
      permits.acquire(
          RUNNER,
          granted -> {
            if (granted) {
              sent();
            } else {
              refused++;
            }
          });
    }

    private void sent() {
      if (isolated || !running) {
        return;
      }
      long sentAt = now;
      arrivals.add(new Arrival(now, self.id()));
      RateLimitAnnouncement announcement =
          limit < 0
              ? new RateLimitAnnouncement.NotLimited()
              : new RateLimitAnnouncement.Limited(limit);
      schedule(
          RESPONSE_MILLISECONDS,
          () -> {
            limits.responseReceived(RUNNER, ResponseKind.SUCCESS, announcement, sentAt);
            toldAt = Math.min(toldAt, now);
          });
    }
  }

  private static long latency(Instance from, Instance to) {
    boolean sameRegion = from.failureDomain().region().equals(to.failureDomain().region());
    return sameRegion ? LOCAL_MILLISECONDS : REGION_MILLISECONDS;
  }

  private static boolean reaches(Member from, Member to) {
    return from == to || (from.running && to.running && !from.isolated && !to.isolated);
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

  private Member startMember(int index, int generation, boolean supportsPermits) {
    FailureDomain domain = new FailureDomain("region-" + index % 2, "domain-" + index % 4);
    Address address = new Address("10.0.0." + (index + 1), 80);
    String id = "i-" + index + "-" + generation;
    Member member =
        new Member(new Instance(id, address, address, domain, InstanceState.LIVE), supportsPermits);
    members.put(id, member);
    return member;
  }

  private void startFleet(int instances, double requestsPerSecond) {
    members.clear();
    events.clear();
    arrivals.clear();
    excusedUntil.clear();
    refused = 0;
    now = 0;
    for (int index = 0; index < instances; index++) {
      startMember(index, 0, true);
    }
    limit = requestsPerSecond;
  }

  private void traffic(double perSecond, long forMilliseconds, Random random) {
    double at = now;
    while (at < now + forMilliseconds) {
      at += -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
      schedule(
          (long) at - now,
          () -> {
            List<Member> senders =
                members.values().stream()
                    .filter(each -> each.running && each.supportsPermits)
                    .toList();
            if (!senders.isEmpty()) {
              senders.get(random.nextInt(senders.size())).sendRequest();
            }
          });
    }
  }

  /** Checks the platform's rule over the arrivals of all instances that knew the limit. */
  private void assertWithinLimit(double perSecond, long from) {
    double allowed = ALLOWED_FACTOR * perSecond * WINDOW_MILLISECONDS / 1_000 + ALLOWED_EXTRA;
    List<Arrival> counted =
        arrivals.stream()
            .filter(arrival -> arrival.at() >= from)
            .filter(
                arrival ->
                    members.get(arrival.instance()).toldAt + TOLD_MILLISECONDS <= arrival.at())
            .filter(arrival -> excusedUntil.getOrDefault(arrival.instance(), 0L) <= arrival.at())
            .toList();
    for (Arrival first : counted) {
      long count =
          counted.stream()
              .filter(each -> each.at() >= first.at())
              .filter(each -> each.at() < first.at() + WINDOW_MILLISECONDS)
              .count();
      assertTrue(count <= allowed, count + " of " + allowed + " from " + first.at());
    }
  }

  @Property(tries = 200, seed = "4712")
  void limitHoldsAcrossPartitionsRestartsAndEarlierVersions(
      @ForAll @IntRange(max = 1_000_000) int seed, @ForAll @IntRange(min = 2, max = 20) int size) {
    Random random = new Random(seed);
    double perSecond = List.of(0.2, 0.5, 1.0, 2.5, 8.0, 40.0).get(random.nextInt(6));
    startFleet(size, perSecond);
    members.clear();
    double earlierVersionShare = random.nextInt(3) * 0.3;
    for (int index = 0; index < size; index++) {
      startMember(index, 0, random.nextDouble() >= earlierVersionShare);
    }
    traffic(3 * perSecond + 10, 60_000, random);
    runUntil(CONTACT_MILLISECONDS + random.nextInt(3_000));
    for (int fault = 0; fault < 4; fault++) {
      List<Member> live = members.values().stream().filter(each -> each.running).toList();
      if (live.isEmpty()) {
        break;
      }
      Member target = live.get(random.nextInt(live.size()));
      if (random.nextBoolean()) {
        isolate(target, 1_000 + random.nextInt(6_000));
      } else {
        restart(target, fault + 1);
      }
      runUntil(now + random.nextInt(6_000));
    }
    runUntil(now + 10_000);
    assertWithinLimit(perSecond, CONTACT_MILLISECONDS);
  }

  private void isolate(Member target, long milliseconds) {
    target.isolated = true;
    excusedUntil.put(target.self.id(), now + milliseconds + CONTACT_MILLISECONDS);
    schedule(milliseconds, () -> target.isolated = false);
  }

  private void restart(Member target, int generation) {
    target.running = false;
    int index = Integer.parseInt(target.self.id().split("-")[1]);
    schedule(1_000, () -> startMember(index, 100 * generation + index, true));
  }

  @Test
  void limitOfOneRequestPerSecondIsUsedByLargeFleet() {
    startFleet(370, 1);
    traffic(100, 40_000, new Random(3));
    runUntil(CONTACT_MILLISECONDS);
    arrivals.clear();
    runUntil(34_000);
    assertWithinLimit(1, CONTACT_MILLISECONDS);
    assertTrue(arrivals.size() >= 27, arrivals.size() + " requests in 30 s at 1 per second");
  }

  @Test
  void changedLimitAppliesToAllInstances() {
    startFleet(8, 1);
    traffic(60, 60_000, new Random(5));
    runUntil(10_000);
    limit = 20;
    runUntil(20_000);
    arrivals.clear();
    runUntil(30_000);
    assertTrue(arrivals.size() >= 160, arrivals.size() + " requests in 10 s at 20 per second");
    assertWithinLimit(20, 20_000);
    limit = 2;
    runUntil(30_000 + CONTACT_MILLISECONDS);
    arrivals.clear();
    runUntil(50_000);
    assertWithinLimit(2, 0);
  }

  @Test
  void droppedLimitNoLongerDelaysRequests() {
    startFleet(8, 1);
    traffic(60, 40_000, new Random(6));
    runUntil(10_000);
    limit = -1;
    runUntil(14_000);
    final int refusedBefore = refused;
    arrivals.clear();
    runUntil(24_000);
    assertEquals(refusedBefore, refused);
    assertTrue(arrivals.size() > 500, arrivals.size() + " requests in 10 s");
  }

  @Test
  void limitOfZeroIsCheckedAgainAndCanEnd() {
    startFleet(4, 0);
    traffic(30, 60_000, new Random(7));
    runUntil(CONTACT_MILLISECONDS);
    arrivals.clear();
    runUntil(30_000);
    assertWithinLimit(0, 0);
    limit = -1;
    runUntil(50_000);
    arrivals.clear();
    runUntil(55_000);
    assertTrue(arrivals.size() > 100, arrivals.size() + " requests in 5 s");
  }

  @Test
  void instancesOfEarlierVersionsAreNoHolders() {
    startFleet(0, 5);
    for (int index = 0; index < 8; index++) {
      startMember(index, 0, index == 2 || index == 5 || index == 7);
    }
    Random random = new Random(8);
    for (Member member : members.values()) {
      if (member.supportsPermits) {
        for (int request = 0; request < 400; request++) {
          schedule(random.nextInt(20_000), member::sendRequest);
        }
      }
    }
    runUntil(CONTACT_MILLISECONDS);
    arrivals.clear();
    runUntil(20_000);
    assertWithinLimit(5, 0);
    assertTrue(arrivals.size() >= 60, arrivals.size() + " requests in 16 s at 5 per second");
  }

  @Test
  void instanceWithoutAnswerOfHolderSendsNothing() {
    startFleet(6, 5);
    traffic(30, 10_000, new Random(9));
    runUntil(5_000);
    Member cut = members.get("i-1-0");
    cut.isolated = true;
    List<Boolean> decisions = new ArrayList<>();
    schedule(300, () -> cut.permits.acquire(RUNNER, decisions::add));
    runUntil(5_800);
    assertEquals(List.of(false), decisions);
  }

  @Test
  void leavingHolderGrantsNoPermits() {
    startFleet(6, 5);
    traffic(30, 10_000, new Random(10));
    runUntil(5_000);
    members.values().forEach(member -> member.permits.stopGranting());
    PeerMessage.RunnerLimitNotice notice =
        new PeerMessage.RunnerLimitNotice("r", 1, OptionalDouble.of(5), 0);
    members
        .values()
        .forEach(
            member ->
                assertFalse(
                    member.permits.answer(new PeerMessage.PermitRequest(notice, 1, 0)).granted()
                        > 0));
  }

  @Test
  void callsWithoutPermitCountAgainstLimit() {
    startFleet(1, 2);
    Member only = members.get("i-0-0");
    only.sendRequest();
    runUntil(2_000);
    for (int call = 0; call < 4; call++) {
      only.permits.sentWithoutPermit(RUNNER);
    }
    arrivals.clear();
    for (int tick = 0; tick < 20; tick++) {
      schedule(tick * 50, only::sendRequest);
    }
    runUntil(3_000);
    assertEquals(0, arrivals.size());
  }

  @Test
  void reportOfSentCallsIsNotRepeatedAtOnceWhileHolderIsUnreachable() {
    startFleet(6, 5);
    traffic(30, 5_000, new Random(11));
    runUntil(5_000);
    Member cut = members.get("i-1-0");
    cut.isolated = true;
    cut.failsImmediately = true;
    runUntil(5_100);
    final int before = cut.requestCount;
    cut.permits.sentWithoutPermit(RUNNER);
    runUntil(5_200);
    assertEquals(1, cut.requestCount - before);
  }

  @Test
  void expectedRateOfLimitOfZeroIsPositive() {
    startFleet(4, 0);
    Member member = members.get("i-0-0");
    member.sendRequest();
    runUntil(1_000);
    assertTrue(member.permits.isLimited(RUNNER));
    assertTrue(member.permits.expectedPerSecond(RUNNER) > 0);
  }

  @Test
  void limitedRunnerIsSparedExceptToNoticeTheEndOfItsLimit() {
    startFleet(4, 2);
    Member member = members.get("i-0-0");
    assertFalse(member.permits.shouldSpare(RUNNER, now));
    member.sendRequest();
    runUntil(1_000);
    member.sendRequest(); // The holder's bucket is still empty.
    runUntil(2_000);
    member.sendRequest();
    runUntil(2_100);
    assertEquals(2, arrivals.size());
    assertTrue(member.permits.shouldSpare(RUNNER, now));
    // A quarter of 2 requests per second, shared by 4 instances.
    assertTrue(member.permits.shouldSpare(RUNNER, 9_900));
    assertFalse(member.permits.shouldSpare(RUNNER, 10_100));
  }

  @Test
  void responseToEarlierRequestDoesNotEndLimit() {
    startFleet(1, 2);
    RunnerLimits limits = members.get("i-0-0").limits;
    now = 1_000;
    limits.responseReceived(
        RUNNER, ResponseKind.SUCCESS, new RateLimitAnnouncement.Limited(2), 900);
    now = 1_010;
    limits.responseReceived(
        RUNNER, ResponseKind.SUCCESS, new RateLimitAnnouncement.NotLimited(), 990);
    assertEquals(OptionalDouble.of(2), limits.requestsPerSecond(RUNNER));
    limits.responseReceived(
        RUNNER, ResponseKind.SUCCESS, new RateLimitAnnouncement.Invalid(), 1_005);
    limits.responseReceived(
        RUNNER, ResponseKind.REJECTED, new RateLimitAnnouncement.NotLimited(), 1_005);
    assertEquals(OptionalDouble.of(2), limits.requestsPerSecond(RUNNER));
    limits.responseReceived(
        RUNNER, ResponseKind.SUCCESS, new RateLimitAnnouncement.NotLimited(), 1_005);
    assertEquals(OptionalDouble.empty(), limits.requestsPerSecond(RUNNER));
  }

  @Test
  void olderNoticeDoesNotReplaceLaterAnnouncement() {
    startFleet(1, 2);
    RunnerLimits limits = members.get("i-0-0").limits;
    now = 1_000;
    limits.responseReceived(
        RUNNER, ResponseKind.SUCCESS, new RateLimitAnnouncement.Limited(2), 900);
    limits.noticeReceived(new PeerMessage.RunnerLimitNotice("r", 1, OptionalDouble.empty(), 200));
    assertEquals(OptionalDouble.of(2), limits.requestsPerSecond(RUNNER));
    now = 2_000;
    limits.noticeReceived(new PeerMessage.RunnerLimitNotice("r", 1, OptionalDouble.of(7), 200));
    assertEquals(OptionalDouble.of(7), limits.requestsPerSecond(RUNNER));
  }
}
