package org.agatefield.daemon.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.peer.PeerMessage;

/**
 * Simulates instances that share what they know about requests that crash runners, with their
 * messages and their store, in simulated time. Invariant: the same random numbers give the same
 * course. Not thread safe.
 */
final class SimulatedInstances {
  private static final long LATENCY_MILLISECONDS = 15;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final List<Simulated> instances = new ArrayList<>();
  private final Map<String, Stored> store = new HashMap<>();
  private final Random random;
  private BiConsumer<Simulated, String> onQuarantined = (instance, trait) -> {};
  private boolean storeAvailable = true;
  private long now;
  private long scheduled;
  private int broadcasts;
  private int extraLatencyMilliseconds;

  /** A message that a cut holds back. */
  private record Held(
      Simulated from, int fromProcess, Simulated to, int toProcess, PeerMessage message) {
    boolean processesRun() {
      return from.process == fromProcess && to.process == toProcess;
    }
  }

  private record Event(long at, long order, Runnable action) {}

  /** A quarantine in the store. */
  record Stored(int number, long until) {}

  /** Starts instances and lets them read the store. */
  SimulatedInstances(int count, Random random) {
    this.random = random;
    for (int index = 0; index < count; index++) {
      instances.add(new Simulated(index));
    }
    runFor(100);
  }

  List<Simulated> instances() {
    return instances;
  }

  Simulated get(int index) {
    return instances.get(index);
  }

  long now() {
    return now;
  }

  int broadcasts() {
    return broadcasts;
  }

  /** Returns the content of the store by trait. */
  Map<String, Stored> store() {
    return Map.copyOf(store);
  }

  boolean isStoreAvailable() {
    return storeAvailable;
  }

  void setStoreAvailable(boolean available) {
    storeAvailable = available;
  }

  /** Lets one message in ten take up to this time longer. */
  void setExtraLatency(int milliseconds) {
    extraLatencyMilliseconds = milliseconds;
  }

  /** Tells a listener of each trait that an instance begins to quarantine. */
  void onQuarantined(BiConsumer<Simulated, String> listener) {
    onQuarantined = listener;
  }

  long quarantinedAt(String trait) {
    return instances.stream().filter(each -> each.isQuarantined(trait)).count();
  }

  /** Lets the store come back from an older copy, which the instances notice. */
  void restore(Map<String, Stored> copy) {
    store.clear();
    store.putAll(copy);
    instances.forEach(each -> each.quarantine.storeLostHistory());
  }

  /** Starts new processes of all instances at once; messages to the old ones are lost. */
  void restartAll() {
    instances.forEach(each -> each.held.clear());
    instances.forEach(Simulated::start);
  }

  /** Ends all cuts. */
  void healAll() {
    instances.forEach(Simulated::heal);
  }

  void after(long milliseconds, Runnable action) {
    events.add(new Event(now + milliseconds, scheduled++, action));
  }

  void runFor(long milliseconds) {
    long end = now + milliseconds;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event next = events.poll();
      now = next.at();
      next.action().run();
    }
    now = end;
  }

  /** One instance over all its processes. */
  final class Simulated implements RequestQuarantine.Fleet, RequestQuarantine.Records, Timers {
    private final Instance self;
    private final List<Held> held = new ArrayList<>();
    private RequestQuarantine quarantine;
    private boolean cut;
    private boolean running;
    private boolean earlierBuild;
    private int process;
    private long inTouchSince;

    private Simulated(int index) {
      self =
          new Instance(
              "entry-" + index,
              new Address("10.0.0." + index, 1),
              new Address("10.0.0." + index, 2),
              new FailureDomain("region", "domain"),
              InstanceState.LIVE);
      start();
    }

    /** Starts a new process, which knows nothing. */
    void start() {
      process++;
      running = true;
      inTouchSince = now;
      int started = process;
      quarantine =
          new RequestQuarantine(
              () -> now,
              this,
              this,
              this,
              bound -> random.nextInt(bound),
              trait -> onQuarantined.accept(this, trait));
      quarantine.start();
      exchange(started);
    }

    RequestQuarantine quarantine() {
      return quarantine;
    }

    /** Returns the number of the current process. */
    int process() {
      return process;
    }

    boolean isCut() {
      return cut;
    }

    /** Cuts the instance off from all others, but not from the store. */
    void cut() {
      cut = true;
    }

    /** Lets an earlier build run, or no longer, that knows no evidence of crashes. */
    void setEarlierBuild(boolean earlier) {
      earlierBuild = earlier;
    }

    boolean isEarlierBuild() {
      return earlierBuild;
    }

    /** Returns whether the process has run and been in touch with the others for a time. */
    boolean isInTouchFor(long milliseconds) {
      return running && !cut && now - inTouchSince >= milliseconds;
    }

    /** Ends the process; the next one starts after a time. */
    void restart(long downMilliseconds) {
      process++;
      running = false;
      int ended = process;
      SimulatedInstances.this.after(
          downMilliseconds,
          () -> {
            if (process == ended) {
              start();
            }
          });
    }

    /** Returns whether a process runs. */
    boolean isRunning() {
      return running;
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
      SimulatedInstances.this.after(
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
          .filter(other -> other == this || (!cut && !other.cut && other.running))
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
        to.held.add(new Held(this, process, to, to.process, message));
        return;
      }
      SimulatedInstances.this.after(
          LATENCY_MILLISECONDS + random.nextInt(30) + extraLatency(), () -> to.receive(message));
    }

    private int extraLatency() {
      return extraLatencyMilliseconds > 0 && random.nextInt(10) == 0
          ? random.nextInt(extraLatencyMilliseconds)
          : 0;
    }

    private void receive(PeerMessage message) {
      if (running && !earlierBuild) {
        quarantine.evidenceReceived((PeerMessage.CrashEvidence) message);
      }
    }

    /** Ends the cut and delivers what was held back, whoever sent it. */
    void heal() {
      if (cut) {
        inTouchSince = now;
      }
      cut = false;
      List<Held> late = List.copyOf(held);
      held.clear();
      late.forEach(each -> receive(each.message()));
    }

    /**
     * Ends the cut. Delivers what was held back between instances that are not cut off; messages of
     * and to processes that have ended are lost.
     */
    void reconnect() {
      if (cut) {
        inTouchSince = now;
      }
      cut = false;
      instances.stream().filter(each -> !each.cut).forEach(Simulated::receiveHeld);
    }

    private void receiveHeld() {
      held.removeIf(each -> !each.processesRun());
      List<Held> late = held.stream().filter(each -> !each.from().cut).toList();
      held.removeAll(late);
      late.forEach(each -> receive(each.message()));
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
}
