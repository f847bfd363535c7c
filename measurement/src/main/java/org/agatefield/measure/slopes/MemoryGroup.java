package org.agatefield.measure.slopes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.agatefield.membership.Liveness;
import org.agatefield.membership.Membership;
import org.agatefield.membership.MembershipAction;
import org.agatefield.membership.MembershipEvent;
import org.agatefield.membership.MembershipSettings;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates group members on an in-memory network with the latencies of the specification and
 * counts their messages. Not thread-safe.
 */
final class MemoryGroup {
  private static final long LOCAL_MILLISECONDS = 1;
  private static final long REMOTE_MILLISECONDS = 30;
  private static final long FETCH_MILLISECONDS = 20;
  private static final long TICK_MILLISECONDS = MembershipSettings.defaults().tickMilliseconds();
  private static final int FIRST_PORT = 1_000;
  private static final Address SEED = new Address("10.0.0.1", FIRST_PORT);

  private final UniformRandomProvider random;
  private final int regions;
  private final Map<Address, Member> byAddress = new HashMap<>();
  private final List<Member> running = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.<Event>comparingLong(Event::time).thenComparing(Event::order));
  private long now;
  private long order;
  private int started;
  private long sent;
  private long remote;
  private long updates;
  private long deaths;
  private long generation;
  private long generationTime;
  private long worstSpread;
  private long worstRequests;

  private record Event(long time, long order, Member member, MembershipEvent event) {}

  /**
   * Counters over all members. Immutable.
   *
   * @param sent messages sent
   * @param remote messages sent to other regions
   * @param updates member updates in the messages
   * @param deaths failure detections, summed over all members
   * @param sentBy messages sent by each running member
   * @param receivedBy messages received by each running member
   */
  record Totals(
      long sent,
      long remote,
      long updates,
      long deaths,
      Map<String, Long> sentBy,
      Map<String, Long> receivedBy) {}

  private static final class Member {
    private final Membership membership;
    private final String region;
    private boolean crashed;
    private long sent;
    private long received;
    private long generation;
    private long requestsServed;

    private Member(Membership membership, String region) {
      this.membership = membership;
      this.region = region;
    }

    private String id() {
      return membership.self().id();
    }
  }

  MemoryGroup(long seed, int regions) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.regions = regions;
  }

  void start(int count) {
    for (int each = 0; each < count; each++) {
      startOne();
    }
  }

  private void startOne() {
    Address address = new Address("10.0.0.1", FIRST_PORT + started);
    String region = "region-" + started % regions;
    String id = String.format("entry-%04d-%08x", started, random.nextInt());
    Instance instance =
        new Instance(id, address, address, new FailureDomain(region, "domain"), InstanceState.LIVE);
    started++;
    UniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
    Membership membership = new Membership(instance, MembershipSettings.defaults(), own, now);
    Member member = new Member(membership, region);
    byAddress.put(address, member);
    running.add(member);
    schedule(now, member, new MembershipEvent.SeedsChanged(seeds()));
    schedule(now + random.nextLong(TICK_MILLISECONDS), member, new MembershipEvent.Tick());
  }

  private List<Address> seeds() {
    List<Address> seeds = new ArrayList<>();
    seeds.add(SEED);
    running.stream()
        .limit(3)
        .forEach(each -> seeds.add(each.membership.self().instance().peerAddress()));
    return seeds;
  }

  /** Crashes one member and starts another. */
  void replaceOne() {
    Member crashed = running.remove(random.nextInt(running.size()));
    crashed.crashed = true;
    startOne();
  }

  /** Raises the generation of a random member. */
  void changeConfiguration() {
    worstRequests = Math.max(worstRequests, mostRequests());
    running.forEach(member -> member.requestsServed = 0);
    generation++;
    generationTime = now;
    adopt(running.get(random.nextInt(running.size())), generation);
  }

  private long mostRequests() {
    return running.stream().mapToLong(member -> member.requestsServed).max().orElse(0);
  }

  long worstRequests() {
    return Math.max(worstRequests, mostRequests());
  }

  long worstSpreadMilliseconds() {
    return worstSpread;
  }

  /** Runs until every member lists all others and returns the elapsed milliseconds. */
  long runUntilConverged() {
    long start = now;
    while (running.stream()
        .anyMatch(each -> each.membership.present().size() < running.size() - 1)) {
      run(TICK_MILLISECONDS);
    }
    return now - start;
  }

  void run(long milliseconds) {
    long end = now + milliseconds;
    while (!events.isEmpty() && events.peek().time() <= end) {
      Event event = events.poll();
      now = event.time();
      if (!event.member().crashed) {
        deliver(event.member(), event.event());
      }
    }
    now = end;
  }

  private void deliver(Member member, MembershipEvent event) {
    if (event instanceof MembershipEvent.Tick) {
      schedule(now + TICK_MILLISECONDS, member, event);
    } else if (event instanceof MembershipEvent.Received) {
      member.received++;
    } else if (event instanceof MembershipEvent.GenerationRaised raised) {
      member.generation = Math.max(member.generation, raised.generation());
      if (raised.generation() == generation) {
        worstSpread = Math.max(worstSpread, now - generationTime);
      }
    }
    member.membership.handle(event, now).forEach(action -> perform(member, action));
  }

  private void perform(Member member, MembershipAction action) {
    if (action instanceof MembershipAction.Send send) {
      transmit(member, send);
    } else if (action instanceof MembershipAction.MemberChanged changed) {
      deaths += changed.update().liveness() == Liveness.DEAD ? 1 : 0;
    } else if (action instanceof MembershipAction.GenerationObserved observed
        && observed.generation() > member.generation) {
      member.generation = observed.generation();
      byAddress.get(observed.holder().peerAddress()).requestsServed++;
      schedule(
          now + FETCH_MILLISECONDS,
          member,
          new MembershipEvent.GenerationRaised(observed.generation()));
    }
  }

  private void adopt(Member member, long raised) {
    schedule(now, member, new MembershipEvent.GenerationRaised(raised));
  }

  private void transmit(Member from, MembershipAction.Send send) {
    Member to = byAddress.get(send.address());
    boolean isRemote = !to.region.equals(from.region);
    sent++;
    from.sent++;
    remote += isRemote ? 1 : 0;
    updates += send.message().updates().size();
    long delay = isRemote ? REMOTE_MILLISECONDS : LOCAL_MILLISECONDS;
    schedule(now + delay, to, new MembershipEvent.Received(send.message()));
  }

  private void schedule(long time, Member member, MembershipEvent event) {
    order++;
    events.add(new Event(time, order, member, event));
  }

  Totals totals() {
    Map<String, Long> sentBy = new HashMap<>();
    Map<String, Long> receivedBy = new HashMap<>();
    for (Member member : running) {
      sentBy.put(member.id(), member.sent);
      receivedBy.put(member.id(), member.received);
    }
    return new Totals(sent, remote, updates, deaths, sentBy, receivedBy);
  }

  /** Returns the most messages that one member sent since {@code before}. */
  long busiestSent(Totals before) {
    return running.stream()
        .mapToLong(member -> member.sent - before.sentBy().getOrDefault(member.id(), 0L))
        .max()
        .orElse(0);
  }

  /** Returns the most messages that one member received since {@code before}. */
  long busiestReceived(Totals before) {
    return running.stream()
        .mapToLong(member -> member.received - before.receivedBy().getOrDefault(member.id(), 0L))
        .max()
        .orElse(0);
  }
}
