package org.agatefield.fleet.platform;

import static org.agatefield.fleet.platform.StoreBench.content;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.InstanceState;
import org.agatefield.store.HttpObjectStore;
import org.agatefield.store.InstanceList;
import org.agatefield.store.ObjectInformer;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.StoreInstanceList;
import org.agatefield.store.StoredObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ObjectInformerTest {
  private static final Duration GENEROUS = Duration.ofSeconds(60);
  private static final Duration NEVER = Duration.ofHours(1);

  private final StoreBench bench = new StoreBench();
  private final HttpObjectStore store = bench.newClient();

  @AfterEach
  void close() {
    bench.close();
  }

  private ObjectInformer informer(Duration pollInterval) {
    return bench.closer.register(
        new ObjectInformer(bench.vertx, bench.newClient(), ObjectKind.LEDGER, pollInterval)
            .start());
  }

  private StoredObject create(String name, int value) {
    return store.create(new ObjectKey(ObjectKind.LEDGER, name), "w", content(value)).join();
  }

  private static void awaitValues(ObjectInformer informer, Map<String, Integer> expected) {
    await().atMost(GENEROUS).until(() -> known(informer).equals(expected));
  }

  private static Map<String, Integer> known(ObjectInformer informer) {
    Map<String, Integer> values = new TreeMap<>();
    informer
        .known()
        .orElse(Map.of())
        .forEach((name, object) -> values.put(name, object.content().path("value").asInt()));
    return values;
  }

  @Test
  void changesAreReceivedByWatch() {
    StoredObject first = create("a", 1);
    ObjectInformer informer = informer(NEVER);
    awaitValues(informer, Map.of("a", 1));
    store.update(first, "w2", content(2)).join();
    StoredObject second = create("b", 3);
    awaitValues(informer, Map.of("a", 2, "b", 3));
    store.delete(second).join();
    awaitValues(informer, Map.of("a", 2));
    assertEquals(1, bench.counts().at("/calls/list/ledgers").asInt());
  }

  @Test
  void brokenWatchResumesFromItsLastVersion() {
    ObjectInformer informer = informer(NEVER);
    create("a", 1);
    awaitValues(informer, Map.of("a", 1));
    bench.faults("{\"cutWatches\":true}");
    create("b", 2);
    awaitValues(informer, Map.of("a", 1, "b", 2));
  }

  @Test
  void discardedVersionCausesNewList() {
    ObjectInformer informer = informer(NEVER);
    create("a", 1);
    awaitValues(informer, Map.of("a", 1));
    bench.faults("{\"down\":true}");
    bench.faults("{\"forgetChanges\":true}");
    create("b", 2);
    bench.faults("{\"forgetChanges\":true,\"cutWatches\":true}");
    awaitValues(informer, Map.of("a", 1, "b", 2));
  }

  @Test
  void pollFindsChangesThatWatchDoesNotReport() {
    ObjectInformer informer = informer(Duration.ofMillis(200));
    awaitValues(informer, Map.of());
    bench.faults("{\"muteWatches\":true}");
    create("a", 1);
    awaitValues(informer, Map.of("a", 1));
  }

  @Test
  void recoveryOfTheStoreCausesFewCallsPerInformer() {
    int count = 40;
    bench.faults("{\"down\":true}");
    List<ObjectInformer> informers = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      informers.add(informer(NEVER));
    }
    await().atMost(GENEROUS).until(() -> bench.calls() >= 2 * count);
    bench.faults("{}");
    final long before = bench.calls();
    create("a", 1);
    informers.forEach(informer -> awaitValues(informer, Map.of("a", 1)));
    long calls = bench.calls() - before;
    assertTrue(calls <= 3 * count, "calls to recover: " + calls);
  }

  @Test
  void instanceListSeparatesLiveFromLeavingUpstreams() {
    createInstance(instance("entry-1", "ENTRY", "LIVE"));
    createInstance(instance("engine-1", "UPSTREAM", "LIVE"));
    createInstance(instance("engine-2", "UPSTREAM", "LEAVING"));
    StoreInstanceList list =
        bench.closer.register(new StoreInstanceList(bench.vertx, bench.newClient(), NEVER));
    InstanceList.Snapshot expected =
        new InstanceList.Snapshot(
            List.of(
                new InstanceList.EntryInstance(
                    "entry-1",
                    new Address("127.0.0.1", 1000),
                    new Address("127.0.0.1", 1001),
                    new FailureDomain("kochi", "kochi-a"),
                    InstanceState.LIVE)),
            Set.of("engine-1"),
            Set.of("engine-2"));
    await().atMost(GENEROUS).until(() -> list.current().equals(expected));
  }

  private void createInstance(Map.Entry<String, ObjectNode> instance) {
    ObjectKey key = new ObjectKey(ObjectKind.INSTANCE, instance.getKey());
    store.create(key, "w", instance.getValue()).join();
  }

  private static Map.Entry<String, ObjectNode> instance(String name, String role, String state) {
    ObjectNode content =
        JsonNodeFactory.instance
            .objectNode()
            .put("role", role)
            .put("state", state)
            .put("callerAddress", "127.0.0.1:1000")
            .put("peerAddress", "127.0.0.1:1001")
            .put("region", "kochi")
            .put("failureDomain", "kochi-a");
    return Map.entry(name, content);
  }
}
