package org.agatefield.daemon.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** Simulates instances that share what they know about requests that crash runners. */
class RequestQuarantineTest {
  private static final int INSTANCES = 5;
  private static final long LATENCY_MILLISECONDS = 15;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final List<Simulated> instances = new ArrayList<>();
  private final Map<String, Stored> store = new HashMap<>();
  private Random random = new Random(35);
  private boolean storeAvailable = true;
  private long now;
  private long scheduled;
  private int crashes;
  private int broadcasts;

  private record Event(long at, long order, Runnable action) {}

  private record Stored(int number, long until) {}

  private void after(long milliseconds, Runnable action) {
    events.add(new Event(now + milliseconds, scheduled++, action));
  }

  private void runFor(long milliseconds) {
    long end = now + milliseconds;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event next = events.poll();
      now = next.at();
      next.action().run();
    }
    now = end;
  }

  /** One instance over all its processes. */
  private final class Simulated
      implements RequestQuarantine.Fleet, RequestQuarantine.Records, Timers {
    private final Instance self;
    private final List<PeerMessage> held = new ArrayList<>();
    private RequestQuarantine quarantine;
    private boolean cut;
    private boolean earlierBuild;
    private int process;

    Simulated(int index) {
      self =
          new Instance(
              "entry-" + index,
              new Address("10.0.0." + index, 1),
              new Address("10.0.0." + index, 2),
              new FailureDomain("region", "domain"),
              InstanceState.LIVE);
      start();
    }

    void start() {
      process++;
      int started = process;
      quarantine =
          new RequestQuarantine(
              () -> now, this, this, this, bound -> random.nextInt(bound), trait -> {});
      quarantine.start();
      exchange(started);
    }

    private void exchange(int started) {
      after(
          RequestQuarantine.EXCHANGE_MILLISECONDS,
          () -> {
            if (process == started) {
              quarantine.exchange(now);
              exchange(started);
            }
          });
    }

    @Override
    public void after(long milliseconds, Runnable task) {
      int started = process;
      RequestQuarantineTest.this.after(
          milliseconds,
          () -> {
            if (process == started) {
              task.run();
            }
          });
    }

    @Override
    public Instance self() {
      return self;
    }

    @Override
    public List<Instance> answering() {
      return instances.stream()
          .filter(other -> other == this || (!cut && !other.cut))
          .map(Simulated::self)
          .toList();
    }

    @Override
    public void broadcast(PeerMessage message) {
      broadcasts++;
      instances.stream().filter(other -> other != this).forEach(other -> deliver(other, message));
    }

    @Override
    public void send(Instance instance, PeerMessage message) {
      instances.stream()
          .filter(other -> other.self.equals(instance))
          .forEach(other -> deliver(other, message));
    }

    /** Delivers a message after the latency, or once the instances are no longer cut off. */
    private void deliver(Simulated to, PeerMessage message) {
      if (cut || to.cut) {
        to.held.add(message);
        return;
      }
      RequestQuarantineTest.this.after(
          LATENCY_MILLISECONDS + random.nextInt(30), () -> to.receive(message));
    }

    private void receive(PeerMessage message) {
      if (!earlierBuild) {
        quarantine.evidenceReceived((PeerMessage.CrashEvidence) message);
      }
    }

    void heal() {
      cut = false;
      List<PeerMessage> late = List.copyOf(held);
      held.clear();
      late.forEach(this::receive);
    }

    @Override
    public CompletableFuture<Void> save(RequestQuarantine.Quarantined trait) {
      if (!storeAvailable) {
        return CompletableFuture.failedFuture(new IllegalStateException("store unavailable"));
      }
      store.put(trait.trait(), new Stored(trait.number(), now + trait.remainingMilliseconds()));
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public void delete(String trait, int number) {
      store.computeIfPresent(trait, (name, stored) -> stored.number() > number ? stored : null);
    }

    @Override
    public CompletableFuture<List<RequestQuarantine.Quarantined>> load() {
      if (!storeAvailable) {
        return CompletableFuture.failedFuture(new IllegalStateException("store unavailable"));
      }
      return CompletableFuture.completedFuture(
          store.entrySet().stream()
              .filter(each -> each.getValue().until() > now)
              .map(
                  each ->
                      new RequestQuarantine.Quarantined(
                          each.getKey(), each.getValue().number(), each.getValue().until() - now))
              .toList());
    }

    boolean isQuarantined(String trait) {
      return quarantine.quarantinedUntil(List.of(trait)).isPresent();
    }
  }

  private void startAll() {
    for (int index = 0; index < INSTANCES; index++) {
      instances.add(new Simulated(index));
    }
    runFor(100);
  }

  private void crash(Simulated at, String... traits) {
    crashes++;
    Map<String, Integer> positions = new HashMap<>();
    for (String trait : traits) {
      positions.put(trait, positions.size());
    }
    UpstreamProcess process =
        new UpstreamProcess("i-" + crashes, crashes, new Address("10.1.0.1", 80), false);
    at.quarantine.crashed(process, positions);
  }

  private long quarantinedAt(String trait) {
    return instances.stream().filter(each -> each.isQuarantined(trait)).count();
  }

  @Test
  void crashesAtDifferentInstancesConvictTheirCommonPartEverywhere() {
    startAll();
    crash(instances.get(0), "a", "deadly");
    runFor(1_000);
    crash(instances.get(3), "b", "deadly");
    runFor(400);
    assertEquals(INSTANCES, quarantinedAt("deadly"));
    assertEquals(0, quarantinedAt("a") + quarantinedAt("b"));
    assertEquals(Set.of("deadly"), store.keySet());
  }

  @Test
  void survivalAtAnotherInstanceClearsSuspect() {
    startAll();
    instances.get(4).quarantine.survived(List.of("sound"));
    crash(instances.get(0), "sound");
    runFor(1_000);
    crash(instances.get(1), "sound");
    runFor(2_000);
    assertEquals(0, quarantinedAt("sound"));
  }

  @Test
  void lastPartThatAloneIsDeadlyIsConvictedBesideSoundSharedParts() {
    startAll();
    instances.get(4).quarantine.survived(List.of("first", "customer", "sound"));
    crash(instances.get(0), "first", "customer", "deadly");
    runFor(1_000);
    crash(instances.get(1), "first", "customer", "deadly");
    runFor(1_000);
    assertEquals(INSTANCES, quarantinedAt("deadly"));
    assertEquals(0, quarantinedAt("first") + quarantinedAt("customer"));
  }

  @Test
  void sessionThatAnotherInstanceServedIsSoundThoughItsPartIsAtEachCrash() {
    startAll();
    instances.get(4).quarantine.survived(List.of("first", "session"));
    for (int number = 0; number < 3; number++) {
      crash(instances.get(number), "first", "deadly", "session");
      runFor(1_000);
    }
    assertEquals(INSTANCES, quarantinedAt("deadly"));
    assertEquals(0, quarantinedAt("session"));
  }

  @Test
  void crashesThatEarlierBuildsReportWithoutLastPartsDoNotHideThem() {
    startAll();
    instances.get(4).quarantine.survived(List.of("first", "customer", "sound"));
    crash(instances.get(0), "first", "customer", "deadly");
    runFor(1_000);
    crash(instances.get(1), "first", "customer");
    runFor(1_000);
    crash(instances.get(2), "first", "customer", "deadly");
    runFor(1_000);
    assertEquals(INSTANCES, quarantinedAt("deadly"));
    assertEquals(0, quarantinedAt("first") + quarantinedAt("customer"));
  }

  @Test
  void survivalsAreSharedOnceAndForSuspectsOnly() {
    startAll();
    Simulated serving = instances.get(0);
    for (int request = 0; request < 1_000; request++) {
      serving.quarantine.survived(List.of("first", "own" + request));
    }
    assertEquals(0, broadcasts);
    crash(instances.get(1), "last");
    runFor(1_000);
    broadcasts = 0;
    serving.quarantine.survived(List.of("first", "last"));
    serving.quarantine.survived(List.of("first", "last"));
    assertEquals(1, broadcasts);
  }

  @Test
  void survivalInFlightEndsQuarantineEverywhere() {
    startAll();
    crash(instances.get(0), "sound");
    runFor(1_000);
    crash(instances.get(1), "sound");
    runFor(1_000);
    assertEquals(INSTANCES, quarantinedAt("sound"));
    instances.get(2).quarantine.survived(List.of("sound"));
    runFor(5_000);
    assertEquals(0, quarantinedAt("sound"));
    assertTrue(store.isEmpty());
  }

  @Test
  void quarantineOfInstancesThatWereCutOffYieldsToThoseThatServedThePart() {
    startAll();
    Simulated alone = instances.get(0);
    alone.cut = true;
    crash(alone, "sound");
    runFor(1_000);
    crash(alone, "sound");
    runFor(500);
    assertTrue(alone.isQuarantined("sound"));
    for (int second = 0; second < 12; second++) {
      instances.get(1).quarantine.survived(List.of("sound"));
      runFor(1_000);
    }
    instances.forEach(Simulated::heal);
    runFor(6_000);
    assertEquals(0, quarantinedAt("sound"));
  }

  @Test
  void lateMessagesDoNotRenewAnEndedQuarantine() {
    startAll();
    final Simulated late = instances.get(4);
    crash(instances.get(0), "sound");
    runFor(1_000);
    crash(instances.get(1), "sound");
    runFor(20);
    late.cut = true;
    runFor(3_000);
    instances.get(2).quarantine.survived(List.of("sound"));
    runFor(3_000);
    instances.forEach(Simulated::heal);
    runFor(5_000);
    assertEquals(0, quarantinedAt("sound"));
  }

  @Test
  void quarantineEndsAfterItsTimeAndOneMoreCrashOfTwoRenewsIt() {
    startAll();
    crash(instances.get(0), "deadly");
    runFor(1_000);
    crash(instances.get(1), "deadly");
    runFor(RequestQuarantine.DURATION_MILLISECONDS + 5_000);
    assertEquals(0, quarantinedAt("deadly"));
    assertTrue(store.isEmpty());
    crash(instances.get(0), "deadly");
    runFor(1_000);
    crash(instances.get(1), "deadly");
    runFor(1_000);
    assertEquals(INSTANCES, quarantinedAt("deadly"));
  }

  @Test
  void instanceThatIsCutOffFromOthersLearnsFromTheStoreAfterItsFirstCrash() {
    startAll();
    Simulated alone = instances.get(0);
    alone.cut = true;
    crash(instances.get(1), "deadly");
    runFor(1_000);
    crash(instances.get(2), "deadly");
    runFor(4_000);
    assertFalse(alone.isQuarantined("deadly"));
    crash(alone, "deadly");
    runFor(1_500);
    assertTrue(alone.isQuarantined("deadly"));
  }

  /** Lets the store come back from an older copy, which the instances notice. */
  private void restore(Map<String, Stored> copy) {
    store.clear();
    store.putAll(copy);
    instances.forEach(each -> each.quarantine.storeLostHistory());
  }

  @Test
  void quarantineThatTheStoreHasLostOutlivesAllProcesses() {
    startAll();
    crash(instances.get(0), "deadly");
    runFor(1_000);
    crash(instances.get(1), "deadly");
    runFor(4_000);
    restore(Map.of());
    runFor(1_000);
    instances.forEach(Simulated::start);
    runFor(1_000);
    assertEquals(INSTANCES, quarantinedAt("deadly"));
  }

  @Test
  void quarantineThatIsOverDoesNotComeBackWithTheStore() {
    startAll();
    crash(instances.get(0), "sound");
    runFor(1_000);
    crash(instances.get(1), "sound");
    runFor(4_000);
    final Map<String, Stored> copy = Map.copyOf(store);
    instances.get(2).quarantine.survived(List.of("sound"));
    runFor(5_000);
    restore(copy);
    runFor(1_000);
    instances.forEach(Simulated::start);
    runFor(1_000);
    assertEquals(0, quarantinedAt("sound"));
  }

  @Property(tries = 300, seed = "3503")
  void knowledgeHoldsThroughCutsRestartsKillsOfAllAndEarlierBuilds(@ForAll long luck) {
    instances.clear();
    store.clear();
    events.clear();
    storeAvailable = true;
    random = new Random(luck);
    startAll();
    for (int number = 0; number < 2 + random.nextInt(3); number++) {
      crash(instances.get(random.nextInt(INSTANCES)), "deadly", "new" + number);
      runFor(300 + random.nextInt(2_000));
    }
    runFor(4_000);
    assertEquals(INSTANCES, quarantinedAt("deadly"));
    for (int step = 0; step < 12; step++) {
      trouble();
      runFor(random.nextInt(3_000));
    }
    storeAvailable = true;
    instances.forEach(instance -> instance.earlierBuild = false);
    instances.forEach(Simulated::heal);
    runFor(10_000);
    assertEquals(INSTANCES, quarantinedAt("deadly"));
  }

  private void trouble() {
    Simulated instance = instances.get(random.nextInt(INSTANCES));
    switch (random.nextInt(7)) {
      case 0 -> instance.cut = true;
      case 1 -> instance.heal();
      case 2 -> instance.start();
      case 3 -> storeAvailable = !storeAvailable;
      case 4 -> instance.earlierBuild = !instance.earlierBuild;
      case 5 -> {
        // What the store has lost and no process knows is gone.
        if (storeAvailable && quarantinedAt("deadly") > 0) {
          restore(Map.of());
        }
      }
      default -> {
        instances.forEach(each -> each.held.clear());
        instances.forEach(Simulated::start);
      }
    }
  }
}
