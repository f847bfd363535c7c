package org.agatefield.daemon.peers;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.agatefield.daemon.core.ConfigurationSink;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.model.Address;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.DemandSample;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.store.InstanceList;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerCoordinatorTest {
  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final Duration SEVERAL_ROUNDS =
      Duration.ofSeconds(3); // of probes and of reading lists

  private final List<Node> nodes = new ArrayList<>();

  @AfterEach
  void closeNodes() {
    nodes.forEach(node -> node.duty.close());
  }

  @Test
  void instancesFindEachOtherFromOneSeed() {
    startThree();
    awaitAllKnowEachOther();
  }

  @Test
  void higherGenerationReachesEveryInstanceFromOnePeer() {
    startThree();
    awaitAllKnowEachOther();
    nodes.get(1).offer(ConfigurationDocument.empty().withGeneration(7));
    await().atMost(LIMIT).until(() -> nodes.stream().allMatch(node -> node.generation() == 7));
  }

  @Test
  void instanceThatStartsLaterLearnsTheConfigurationFromPeers() {
    startThree();
    nodes.get(0).offer(ConfigurationDocument.empty().withGeneration(3));
    Node late = start("late", new FailureDomain("south", "b"), nodes.get(0).address());
    await().atMost(LIMIT).until(() -> late.generation() == 3);
  }

  @Test
  void instanceIsKnownToNobodyBeforeItJoinsThoughItIsOnTheLists() throws InterruptedException {
    Node first = start("a", new FailureDomain("north", "a"), null);
    Node late = create("late", new FailureDomain("north", "b"), first.address());
    InstanceList.EntryInstance entry =
        new InstanceList.EntryInstance(
            "late",
            late.address(),
            late.address(),
            new FailureDomain("north", "b"),
            InstanceState.LIVE);
    InstanceList.Snapshot both = new InstanceList.Snapshot(List.of(entry), Set.of(), Set.of());
    first.list.replace(both);
    late.list.replace(both);
    Thread.sleep(SEVERAL_ROUNDS.toMillis());
    assertEquals(1, first.duty.alive().size());
    late.duty.join();
    await().atMost(LIMIT).until(() -> first.duty.alive().size() == 2);
  }

  @Test
  void leavingInstanceIsSeenAsLeavingEverywhere() {
    startThree();
    awaitAllKnowEachOther();
    nodes.get(2).duty.leave();
    await()
        .atMost(LIMIT)
        .until(() -> nodes.stream().allMatch(node -> node.stateOf("c") == InstanceState.LEAVING));
  }

  @Test
  void upstreamThatOneListCallsLeavingIsLeavingEverywhere() {
    startThree();
    awaitAllKnowEachOther();
    nodes
        .get(0)
        .list
        .replace(new InstanceList.Snapshot(List.of(), Set.of("runner-2"), Set.of("runner-1")));
    await()
        .atMost(LIMIT)
        .until(
            () ->
                nodes.stream()
                    .allMatch(node -> node.duty.leavingUpstreams().equals(Set.of("runner-1"))));
  }

  @Test
  void totalDemandAddsUpEveryInstance() {
    startThree();
    awaitAllKnowEachOther();
    DemandSample expectedNorth = new DemandSample("model", "north", 2, 0, 0.5);
    DemandSample expectedSouth = new DemandSample("model", "south", 1, 0, 0.25);
    await()
        .atMost(LIMIT)
        .untilAsserted(
            () ->
                assertEquals(
                    List.of(expectedNorth, expectedSouth), nodes.get(2).duty.totalDemand()));
  }

  private void startThree() {
    Node first = start("a", new FailureDomain("north", "a"), null);
    start("b", new FailureDomain("north", "b"), first.address());
    start("c", new FailureDomain("south", "a"), first.address());
  }

  private void awaitAllKnowEachOther() {
    await()
        .atMost(LIMIT)
        .until(() -> nodes.stream().allMatch(node -> node.duty.alive().size() == 3));
  }

  private Node start(String id, FailureDomain failureDomain, Address seed) {
    Node node = create(id, failureDomain, seed);
    node.duty.join();
    return node;
  }

  private Node create(String id, FailureDomain failureDomain, Address seed) {
    Node node = new Node(id, failureDomain, seed == null ? List.of() : List.of(seed));
    nodes.add(node);
    return node;
  }

  /** One instance with a configuration and a list of its own. */
  private static final class Node implements ConfigurationSource, ConfigurationSink {
    private final Instance instance;
    private final PeerCoordinator duty;
    private final FakeList list = new FakeList();
    private final List<Consumer<ConfigurationDocument>> listeners = new CopyOnWriteArrayList<>();
    private ConfigurationDocument document = ConfigurationDocument.empty();

    private Node(String id, FailureDomain failureDomain, List<Address> seeds) {
      Address address = freeAddress();
      instance = new Instance(id, address, address, failureDomain, InstanceState.LIVE);
      duty =
          new PeerCoordinator(
              instance,
              seeds,
              Optional.empty(),
              list,
              this,
              this,
              () -> List.of(new DemandSample("model", failureDomain.region(), 1, 0, 0.25)),
              new MetricRegistry(),
              RandomSource.XO_RO_SHI_RO_128_PP.create(id.hashCode()));
    }

    private Address address() {
      return instance.peerAddress();
    }

    private long generation() {
      return current().generation();
    }

    private InstanceState stateOf(String id) {
      return duty.alive().stream()
          .filter(each -> each.id().equals(id))
          .map(Instance::state)
          .findFirst()
          .orElse(InstanceState.LIVE);
    }

    @Override
    public synchronized ConfigurationDocument current() {
      return document;
    }

    @Override
    public synchronized void subscribe(Consumer<ConfigurationDocument> listener) {
      listeners.add(listener);
      listener.accept(document);
    }

    @Override
    public synchronized void offer(ConfigurationDocument offered) {
      if (offered.generation() > document.generation()) {
        document = offered;
        listeners.forEach(listener -> listener.accept(offered));
      }
    }
  }

  private static Address freeAddress() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new Address("127.0.0.1", socket.getLocalPort());
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /** A list that the test sets. */
  private static final class FakeList implements InstanceList {
    private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
    private volatile Snapshot snapshot = Snapshot.EMPTY;

    private void replace(Snapshot next) {
      snapshot = next;
      listeners.forEach(listener -> listener.accept(next));
    }

    @Override
    public Snapshot current() {
      return snapshot;
    }

    @Override
    public void subscribe(Consumer<Snapshot> listener) {
      listeners.add(listener);
    }
  }
}
