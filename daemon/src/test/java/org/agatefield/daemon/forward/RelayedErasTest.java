package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.peer.PeerMessage;
import org.agatefield.store.ContentLimits;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectList;
import org.agatefield.store.ObjectSource;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoredObject;
import org.agatefield.store.WatchListener;

/** Tests instances that switch between relays, each of which may be in another era of the store. */
class RelayedErasTest {
  private static final Vertx VERTX = Vertx.vertx();
  private static final int RELAYS = 3;
  private static final int STEPS = 60;
  private static final int NAMES = 3;

  @AfterContainer
  static void close() {
    VERTX.close().toCompletionStage().toCompletableFuture().join();
  }

  /** The store, its copies, relays that follow it at their own pace and one requester. */
  private static final class Simulation implements ObjectSource {
    private final Random random;
    private final Map<String, StoredObject> stored = new TreeMap<>();
    private final Map<String, ObjectRelay> relays = new TreeMap<>();
    private final Map<String, Map<String, StoredObject>> relayed = new TreeMap<>();
    private final Map<String, Long> relayEras = new TreeMap<>();
    private final List<Instance> sources = new ArrayList<>();
    private final RelayedObjectSource requester =
        new RelayedObjectSource(
            VERTX, this, () -> List.copyOf(sources), this::send, kind -> ContentLimits.ORDINARY);
    private Map<String, StoredObject> copy = Map.of();
    private long copiedRevision;
    private long era = 1;
    private long revision = 1;
    private long seenEra;

    Simulation(long seed) {
      random = new Random(seed);
      for (int index = 0; index < RELAYS; index++) {
        String id = "relay-" + index;
        Address address = new Address("10.0.0.1", 80);
        FailureDomain domain = new FailureDomain("r", "d");
        sources.add(new Instance(id, address, address, domain, InstanceState.LIVE));
        relays.put(id, new ObjectRelay(VERTX, id, () -> 0));
        relayed.put(id, new TreeMap<>());
        follow(id);
      }
    }

    private CompletableFuture<PeerMessage> send(Instance instance, PeerMessage request, long ms) {
      return relays.get(instance.id()).answer((PeerMessage.ObjectsRequest) request);
    }

    @Override
    public CompletableFuture<ObjectList> list(ObjectKind kind) {
      return CompletableFuture.completedFuture(
          new ObjectList(era + "/" + revision, List.copyOf(stored.values())));
    }

    @Override
    public AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener) {
      return () -> {};
    }

    void step() {
      String relay = "relay-" + random.nextInt(RELAYS);
      switch (random.nextInt(8)) {
        case 0, 1 -> write();
        case 2 -> keepCopy();
        case 3 -> restore();
        case 4 -> follow(relay);
        case 5 -> relays.get(relay).availabilityChanged(random.nextBoolean());
        case 6 -> Collections.shuffle(sources, random);
        default -> request();
      }
    }

    private void write() {
      revision++;
      String name = "object-" + random.nextInt(NAMES);
      if (random.nextInt(3) == 0) {
        stored.remove(name);
        return;
      }
      ObjectKey key = new ObjectKey(ObjectKind.RUNNER, name);
      var content = JsonNodeFactory.instance.textNode(era + " at " + revision);
      stored.put(name, new StoredObject(key, era + "/" + revision, List.of(), content));
    }

    private void keepCopy() {
      copy = new TreeMap<>(stored);
      copiedRevision = revision;
    }

    /** Comes back from the copy; the client names the new era in all versions. */
    private void restore() {
      era++;
      revision = Math.max(1, copiedRevision);
      stored.clear();
      copy.forEach(
          (name, object) -> {
            String number = object.resourceVersion().split("/")[1];
            stored.put(
                name,
                new StoredObject(object.key(), era + "/" + number, List.of(), object.content()));
          });
    }

    /** Lets a relay's informer list the store. */
    private void follow(String id) {
      ObjectRelay relay = relays.get(id);
      Map<String, StoredObject> before = relayed.put(id, new TreeMap<>(stored));
      relay.listed(era + "/" + revision);
      stored.values().stream()
          .filter(object -> !object.equals(before.get(object.key().name())))
          .forEach(relay::changed);
      before.values().stream()
          .filter(object -> !stored.containsKey(object.key().name()))
          .forEach(object -> relay.deleted(object.key()));
      relay.confirmed();
      relayEras.put(id, era);
    }

    private void request() {
      ObjectList list;
      try {
        list = requester.list(ObjectKind.RUNNER).join();
      } catch (CompletionException exception) {
        assertEquals(StoreFailure.UNAVAILABLE, StoreException.failureOf(exception).orElseThrow());
        return;
      }
      String version = list.resourceVersion();
      String source = version.startsWith("relayed/") ? version.split("/")[1] : "store";
      long listedEra = relayEras.getOrDefault(source, era);
      Map<String, StoredObject> expected = relayed.getOrDefault(source, stored);
      assertTrue(listedEra >= seenEra, "era " + listedEra + " after " + seenEra);
      assertEquals(expected.keySet(), names(list));
      list.objects()
          .forEach(
              object ->
                  assertEquals(expected.get(object.key().name()).content(), object.content()));
      seenEra = listedEra;
    }

    private static Set<String> names(ObjectList list) {
      return list.objects().stream().map(object -> object.key().name()).collect(Collectors.toSet());
    }
  }

  @Property(tries = 2_000, seed = "51041")
  void requesterNeverGoesBackToAnEarlierEra(@ForAll long seed) {
    Simulation simulation = new Simulation(seed);
    for (int step = 0; step < STEPS; step++) {
      simulation.step();
    }
  }
}
