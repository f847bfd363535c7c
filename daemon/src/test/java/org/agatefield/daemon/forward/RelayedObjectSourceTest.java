package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RelayedObjectSourceTest {
  private static final long LIMIT_SECONDS = 10;
  private static final ContentLimits LIMITS = new ContentLimits(131_072, Optional.empty());

  private final Vertx vertx = Vertx.vertx();
  private volatile long clock = 10_000;
  private final Map<String, ObjectRelay> relays = new HashMap<>();
  private final List<Instance> sources = new ArrayList<>();
  private final CountingStore store = new CountingStore();
  private final RelayedObjectSource objects =
      new RelayedObjectSource(vertx, store, () -> List.copyOf(sources), this::send, kind -> LIMITS);

  /** An empty store that counts list calls. */
  private static final class CountingStore implements ObjectSource {
    private int lists;
    private String version = "7";

    @Override
    public CompletableFuture<ObjectList> list(ObjectKind kind) {
      lists++;
      return CompletableFuture.completedFuture(new ObjectList(version, List.of()));
    }

    @Override
    public AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener) {
      return () -> {};
    }
  }

  private static final class Recorder implements WatchListener {
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    @Override
    public void changed(StoredObject object) {
      events.add("changed " + object.key().name() + ' ' + object.content().asText());
    }

    @Override
    public void deleted(ObjectKey key, String resourceVersion) {
      events.add("deleted " + key.name());
    }

    @Override
    public void ended(StoreException failure) {
      events.add("ended " + failure.failure());
    }

    String next() throws InterruptedException {
      return events.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    }
  }

  private static StoredObject object(String name, String text) {
    return object("5", name, text);
  }

  private static StoredObject object(String version, String name, String text) {
    return new StoredObject(
        new ObjectKey(ObjectKind.RUNNER, name),
        version,
        List.of(),
        JsonNodeFactory.instance.textNode(text));
  }

  /** Guards against instances of an earlier release, which pass on contents of any size. */
  @Test
  void contentOfAnotherInstanceThatTakesTooMuchMemoryIsNullAndHidesNoOther() throws Exception {
    ObjectRelay relay = addSource("large");
    ArrayNode large = JsonNodeFactory.instance.arrayNode();
    for (int index = 0; index < 10_000; index++) {
      large.addObject();
    }
    relay.changed(new StoredObject(new ObjectKey(ObjectKind.RUNNER, "odd"), "5", List.of(), large));
    relay.changed(object("sound", "text"));
    relay.confirmed();
    List<StoredObject> listed =
        objects.list(ObjectKind.RUNNER).get(LIMIT_SECONDS, TimeUnit.SECONDS).objects();
    Map<String, Boolean> readable = new HashMap<>();
    listed.forEach(each -> readable.put(each.key().name(), !each.content().isNull()));
    assertEquals(Map.of("odd", false, "sound", true), readable);
  }

  private ObjectRelay addSource(String id) {
    Address address = new Address("10.0.0.1", 80);
    sources.add(
        new Instance(id, address, address, new FailureDomain("r", "d"), InstanceState.LIVE));
    ObjectRelay relay = new ObjectRelay(vertx, id, () -> clock);
    relays.put(id, relay);
    return relay;
  }

  private ObjectRelay addSource(String id, long era, String text) {
    ObjectRelay relay = addSource(id);
    relay.listed(era + "/9");
    relay.changed(object(era + "/8", "a", text));
    relay.confirmed();
    return relay;
  }

  private CompletableFuture<PeerMessage> send(
      Instance instance, PeerMessage request, long limitMilliseconds) {
    return relays.get(instance.id()).answer((PeerMessage.ObjectsRequest) request);
  }

  private ObjectList list() throws Exception {
    return objects.list(ObjectKind.RUNNER).get(LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void objectsAndChangesAreReadFromTheRelayWithoutStoreCalls() throws Exception {
    ObjectRelay relay = addSource("one");
    relay.changed(object("a", "first"));
    relay.confirmed();
    ObjectList listed = list();
    assertEquals("first", listed.objects().get(0).content().asText());
    Recorder recorder = new Recorder();
    try (AutoCloseable watch =
        objects.watch(ObjectKind.RUNNER, listed.resourceVersion(), recorder)) {
      relay.changed(object("a", "second"));
      assertEquals("changed a second", recorder.next());
      relay.deleted(new ObjectKey(ObjectKind.RUNNER, "a"));
      assertEquals("deleted a", recorder.next());
    }
    assertEquals(0, store.lists);
  }

  @Test
  void unreadableContentFromRelayIsReportedAsNullAndHidesNoOther() throws Exception {
    ObjectRelay relay = addSource("one");
    relay.changed(object("a", "first"));
    relay.confirmed();
    Recorder recorder = new Recorder();
    try (AutoCloseable watch =
        objects.watch(ObjectKind.RUNNER, list().resourceVersion(), recorder)) {
      relay.changed(nested("a", 300));
      relay.changed(object("b", "known"));
      assertEquals("changed a null", recorder.next());
      assertEquals("changed b known", recorder.next());
    }
    List<StoredObject> listed = list().objects();
    assertEquals(2, listed.size());
    assertTrue(
        listed.stream().anyMatch(each -> each.key().name().equals("a") && each.content().isNull()));
  }

  private static StoredObject nested(String name, int depth) {
    ArrayNode content = JsonNodeFactory.instance.arrayNode();
    for (ArrayNode inner = content; depth > 1; depth--) {
      inner = inner.addArray();
    }
    return new StoredObject(new ObjectKey(ObjectKind.RUNNER, name), "6", List.of(), content);
  }

  @Test
  void relayWithoutObjectsIsSkipped() throws Exception {
    addSource("one");
    ObjectRelay second = addSource("two");
    second.changed(object("a", "known"));
    second.confirmed();
    assertEquals("known", list().objects().get(0).content().asText());
  }

  @Test
  void watchEndsWhenItsRelayLosesTheStoreAndTheNextListUsesAnotherRelay() throws Exception {
    ObjectRelay first = addSource("one");
    first.confirmed();
    final ObjectRelay second = addSource("two");
    Recorder recorder = new Recorder();
    try (AutoCloseable watch =
        objects.watch(ObjectKind.RUNNER, list().resourceVersion(), recorder)) {
      first.availabilityChanged(false);
      assertEquals("ended VERSION_GONE", recorder.next());
    }
    second.changed(object("b", "of the second"));
    second.confirmed();
    assertEquals("of the second", list().objects().get(0).content().asText());
  }

  @Test
  void storeReadsAreRateLimitedWhileNoRelayResponds() throws Exception {
    addSource("one");
    assertEquals("7", list().resourceVersion());
    ExecutionException failure = null;
    try {
      list();
    } catch (ExecutionException exception) {
      failure = exception;
    }
    assertTrue(
        failure != null
            && StoreException.failureOf(failure.getCause())
                .filter(each -> each == StoreFailure.UNAVAILABLE)
                .isPresent());
    assertEquals(1, store.lists);
  }

  @Test
  void storeReadsAreRateLimitedForEachKindSeparately() throws Exception {
    addSource("one");
    assertEquals("7", list().resourceVersion());
    ObjectList configuration =
        objects.list(ObjectKind.CONFIGURATION).get(LIMIT_SECONDS, TimeUnit.SECONDS);
    assertEquals("7", configuration.resourceVersion());
    assertEquals(2, store.lists);
  }

  @Test
  void watchEndsWhenItsRelayRestarted() throws Exception {
    ObjectRelay relay = addSource("one");
    relay.confirmed();
    String version = list().resourceVersion();
    ObjectRelay later = new ObjectRelay(vertx, "one-again", () -> clock);
    later.confirmed();
    relays.put("one", later);
    Recorder recorder = new Recorder();
    try (AutoCloseable watch = objects.watch(ObjectKind.RUNNER, version, recorder)) {
      assertEquals("ended VERSION_GONE", recorder.next());
    }
  }

  @Test
  void relayWithStaleObjectsIsSkipped() throws Exception {
    ObjectRelay first = addSource("one");
    first.changed(object("a", "old"));
    first.confirmed();
    clock += 3_000;
    ObjectRelay second = addSource("two");
    second.changed(object("a", "new"));
    second.confirmed();
    assertEquals("new", list().objects().get(0).content().asText());
  }

  @Test
  void relayThatIsInAnEarlierEraThanTheListedOneIsSkipped() throws Exception {
    addSource("one", 2, "of era 2");
    list();
    sources.clear();
    addSource("two", 1, "of era 1");
    addSource("three", 2, "again of era 2");
    assertEquals("again of era 2", list().objects().get(0).content().asText());
    assertEquals(0, store.lists);
  }

  @Test
  void relayInLaterEraIsUsedAtOnce() throws Exception {
    addSource("one", 1, "of era 1");
    list();
    sources.clear();
    addSource("two", 2, "of era 2");
    assertEquals("of era 2", list().objects().get(0).content().asText());
  }

  @Test
  void emptyRelayIsInTheEraOfItsList() throws Exception {
    ObjectRelay empty = addSource("one");
    empty.listed("2/3");
    empty.confirmed();
    list();
    sources.clear();
    addSource("two", 1, "of era 1");
    store.version = "2/4";
    assertEquals("2/4", list().resourceVersion());
    sources.clear();
    ObjectRelay emptyBefore = addSource("three");
    emptyBefore.listed("1/7");
    emptyBefore.confirmed();
    addSource("four", 2, "of era 2");
    assertEquals("of era 2", list().objects().get(0).content().asText());
  }

  @Test
  void eraOfTheChangesOfItsWatchIsNotLeftAgain() throws Exception {
    ObjectRelay relay = addSource("one", 1, "before");
    Recorder recorder = new Recorder();
    try (AutoCloseable watch =
        objects.watch(ObjectKind.RUNNER, list().resourceVersion(), recorder)) {
      relay.listed("2/4");
      relay.changed(object("2/3", "a", "after"));
      assertEquals("changed a after", recorder.next());
    }
    sources.clear();
    addSource("two", 1, "of era 1");
    addSource("three", 2, "of era 2");
    assertEquals("of era 2", list().objects().get(0).content().asText());
  }

  @Test
  void relayOfAnEarlierBuildThatNamesNoEraIsUsed() throws Exception {
    addSource("one", 2, "of era 2");
    list();
    sources.clear();
    ObjectRelay earlier = addSource("two");
    earlier.changed(object("a", "plain"));
    earlier.confirmed();
    assertEquals("plain", list().objects().get(0).content().asText());
  }

  @Test
  void listOfTheStoreOfAnEarlierEraIsRefused() throws Exception {
    addSource("one", 2, "of era 2");
    list();
    sources.clear();
    store.version = "1/9";
    ExecutionException failure = assertThrows(ExecutionException.class, this::list);
    assertEquals(
        Optional.of(StoreFailure.UNAVAILABLE), StoreException.failureOf(failure.getCause()));
    store.version = "2/2";
    assertEquals("2/2", list().resourceVersion());
  }
}
