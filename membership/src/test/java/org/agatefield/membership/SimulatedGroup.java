package org.agatefield.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates members on a network that loses, delays, duplicates and reorders messages, with
 * partitions between regions, pauses and crashes; the same seed gives the same run.
 */
final class SimulatedGroup {
  private static final int FIRST_PORT = 1_000;

  final TreeMap<String, Node> nodes = new TreeMap<>();
  private final Map<Address, Node> byAddress = new HashMap<>();
  final UniformRandomProvider random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.<Event>comparingLong(Event::time).thenComparing(Event::order));
  private final MembershipSettings settings;
  private final Set<Set<String>> partitions = new HashSet<>();
  private int nextPort = FIRST_PORT;
  private long order;
  long now;
  double lossShare;
  double duplicateShare;
  long maximumDelay = 5;
  int largestMessage;

  private record Event(long time, long order, Node node, MembershipEvent event) {}

  /** One member with its observations. */
  static final class Node {
    final Membership membership;
    final Address address;
    final String region;
    final Set<String> everDead = new HashSet<>();
    private final List<MembershipEvent> heldBack = new ArrayList<>();
    boolean crashed;
    boolean paused;
    long sent;
    long sentToOtherRegions;
    long received;
    final List<String> deathsSeen = new ArrayList<>();
    long observedGeneration;

    private Node(Membership membership, Address address, String region) {
      this.membership = membership;
      this.address = address;
      this.region = region;
    }

    String id() {
      return membership.self().id();
    }

    Set<String> presentIds() {
      Set<String> ids = new HashSet<>();
      membership.present().forEach(member -> ids.add(member.id()));
      return ids;
    }
  }

  SimulatedGroup(long seed, MembershipSettings settings) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.settings = settings;
  }

  Node start(String id, String region, Address... seeds) {
    Address address = new Address("10.0.0.1", nextPort++);
    Instance instance =
        new Instance(id, address, address, new FailureDomain(region, "domain"), InstanceState.LIVE);
    UniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
    Node node = new Node(new Membership(instance, settings, own, now), address, region);
    nodes.put(id, node);
    byAddress.put(address, node);
    schedule(now, node, new MembershipEvent.SeedsChanged(List.of(seeds)));
    schedule(now + 1, node, new MembershipEvent.Tick());
    return node;
  }

  /** Starts {@code count} members, in {@code regions} by turns, all with the same seed address. */
  void startMany(int count, String... regions) {
    Address seed = new Address("10.0.0.1", nextPort);
    for (int each = 0; each < count; each++) {
      start(String.format("m%03d", each), regions[each % regions.length], seed);
    }
  }

  void partition(String region, String other) {
    partitions.add(Set.of(region, other));
  }

  void heal() {
    partitions.clear();
  }

  void pause(Node node) {
    node.paused = true;
  }

  /**
   * Resumes a paused member; messages received meanwhile are delivered right after its next tick.
   */
  void resume(Node node) {
    node.paused = false;
    deliver(node, new MembershipEvent.Tick());
    List<MembershipEvent> held = new ArrayList<>(node.heldBack);
    node.heldBack.clear();
    held.forEach(event -> deliver(node, event));
  }

  void raise(Node node, long generation) {
    schedule(now, node, new MembershipEvent.GenerationRaised(generation));
  }

  void leave(Node node) {
    schedule(now, node, new MembershipEvent.LeaveRequested());
  }

  void run(long milliseconds) {
    runUntil(() -> false, milliseconds);
  }

  /** Runs until a condition holds; returns whether it did within the limit. */
  boolean runUntil(BooleanSupplier condition, long limitMilliseconds) {
    long end = now + limitMilliseconds;
    long nextCheck = now;
    while (!events.isEmpty() && events.peek().time() <= end) {
      if (events.peek().time() >= nextCheck) {
        nextCheck = events.peek().time() + settings.tickMilliseconds();
        if (condition.getAsBoolean()) {
          return true;
        }
      }
      Event event = events.poll();
      now = event.time();
      if (event.event() instanceof MembershipEvent.Tick) {
        schedule(now + settings.tickMilliseconds(), event.node(), event.event());
      }
      deliver(event.node(), event.event());
    }
    now = end;
    return condition.getAsBoolean();
  }

  List<Node> running() {
    return nodes.values().stream().filter(node -> !node.crashed).toList();
  }

  /** Returns whether every running member knows exactly the other running ones. */
  boolean hasConverged() {
    List<Node> running = running();
    Set<String> ids = new HashSet<>();
    running.forEach(node -> ids.add(node.id()));
    for (Node node : running) {
      Set<String> seen = node.presentIds();
      seen.add(node.id());
      if (!seen.equals(ids)) {
        return false;
      }
    }
    return true;
  }

  private void schedule(long time, Node node, MembershipEvent event) {
    order++;
    events.add(new Event(time, order, node, event));
  }

  private void deliver(Node node, MembershipEvent event) {
    if (node.crashed) {
      return;
    }
    if (node.paused) {
      if (event instanceof MembershipEvent.Received) {
        node.heldBack.add(event);
      }
      return;
    }
    if (event instanceof MembershipEvent.Received) {
      node.received++;
    }
    for (MembershipAction action : node.membership.handle(event, now)) {
      perform(node, action);
    }
  }

  private void perform(Node node, MembershipAction action) {
    if (action instanceof MembershipAction.Send send) {
      node.sent++;
      largestMessage = Math.max(largestMessage, send.message().updates().size());
      transmit(node, send);
    } else if (action instanceof MembershipAction.MemberChanged changed) {
      recordDeath(node, changed.update());
    } else if (action instanceof MembershipAction.GenerationObserved observed) {
      node.observedGeneration = Math.max(node.observedGeneration, observed.generation());
      schedule(now + 1, node, new MembershipEvent.GenerationRaised(observed.generation()));
    }
  }

  private static void recordDeath(Node node, MemberUpdate update) {
    if (update.liveness() == Liveness.DEAD) {
      node.deathsSeen.add(update.id());
      node.everDead.add(update.id());
    }
  }

  private void transmit(Node from, MembershipAction.Send send) {
    Node to = byAddress.get(send.address());
    if (to == null) {
      return;
    }
    boolean remote = !to.region.equals(from.region);
    if (remote) {
      from.sentToOtherRegions++;
    }
    boolean partitioned = remote && partitions.contains(Set.of(from.region, to.region));
    if (partitioned || random.nextDouble() < lossShare) {
      return;
    }
    int copies = random.nextDouble() < duplicateShare ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      long delay = 1 + random.nextLong(maximumDelay);
      schedule(now + delay, to, new MembershipEvent.Received(send.message()));
    }
  }
}
