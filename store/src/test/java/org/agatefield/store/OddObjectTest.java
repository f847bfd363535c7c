package org.agatefield.store;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.agatefield.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests objects of another writer in lists and watches over sockets. */
class OddObjectTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration NEVER = Duration.ofHours(1);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

  private final Vertx vertx = Vertx.vertx();
  private final List<String> items = new CopyOnWriteArrayList<>();
  private final AtomicReference<HttpServerResponse> watch = new AtomicReference<>();
  private Address address;
  private HttpObjectStore store;

  @BeforeEach
  void start() {
    HttpServer server =
        vertx
            .createHttpServer()
            .requestHandler(this::answer)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    address = new Address("127.0.0.1", server.actualPort());
    store = new HttpObjectStore(vertx, address, CALL_TIMEOUT);
  }

  @AfterEach
  void stop() {
    store.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void answer(HttpServerRequest request) {
    if (request.getParam("watch") != null) {
      watch.set(request.response().setChunked(true));
      request.response().write("\n");
      return;
    }
    String large = request.getParam("large", "");
    if (large.equals("bytes")) {
      request.response().end(bytes(" ".repeat(17 * 1_048_576)));
      return;
    }
    if (large.equals("contents")) {
      String content = "[" + "{},".repeat(50_000) + "{}]";
      items.addAll(Collections.nCopies(8, object("odd", 2, content)));
    }
    request
        .response()
        .end(
            bytes(
                "{\"metadata\":{\"resourceVersion\":\"1\"},\"items\":["
                    + String.join(",", items)
                    + "]}"));
  }

  private static Buffer bytes(String text) {
    return Buffer.buffer(text.getBytes(ISO_8859_1));
  }

  private void report(String type, String object) {
    await().atMost(TIMEOUT).until(() -> watch.get() != null);
    watch.get().write(bytes("{\"type\":\"" + type + "\",\"object\":" + object + "}\n"));
  }

  private static String object(String name, int version, String content) {
    return "{\"metadata\":{\"name\":\"%s\",\"resourceVersion\":\"%d\"},\"spec\":%s}"
        .formatted(name, version, content);
  }

  private static String upstream(String name, int version) {
    return object(name, version, "{\"role\":\"UPSTREAM\",\"state\":\"LIVE\"}");
  }

  static List<String> oddInstances() {
    String entry =
        "\"role\":\"ENTRY\",\"state\":\"LIVE\",\"region\":\"r\",\"failureDomain\":\"d\",";
    String peer = "\"peerAddress\":\"127.0.0.1:1001\"";
    return List.of(
        "{" + entry + "\"callerAddress\":\"127.0.0.1:70000\"," + peer + "}",
        "{" + entry + "\"callerAddress\":\"127.0.0.1:99999999999\"," + peer + "}",
        "{" + entry + "\"note\":" + "[".repeat(20_000) + "]".repeat(20_000) + "}",
        "{" + entry + "\"note\":" + "9".repeat(2_000) + "}",
        "{" + entry + "\"note\":\"" + (char) 0xff + "\"}",
        "{\"role\":\"UPSTREAM\",\"state\":\"asleep\"}",
        "\"bytes\"",
        "null");
  }

  private StoreInstanceList instances() {
    return new StoreInstanceList(vertx, store, NEVER);
  }

  private static void awaitLive(StoreInstanceList list, String... names) {
    await().atMost(TIMEOUT).until(() -> list.current().liveUpstreams().equals(Set.of(names)));
  }

  @ParameterizedTest
  @MethodSource("oddInstances")
  void oddInstanceInListHidesNoOther(String content) {
    items.addAll(List.of(upstream("a", 1), object("odd", 1, content), upstream("z", 1)));
    try (StoreInstanceList list = instances()) {
      awaitLive(list, "a", "z");
      assertEquals(List.of(), list.current().entries());
      report("ADDED", upstream("late", 2));
      awaitLive(list, "a", "late", "z");
    }
  }

  @ParameterizedTest
  @MethodSource("oddInstances")
  void oddInstanceInWatchHidesNoOtherAndReplacesItsOwn(String content) {
    items.addAll(List.of(upstream("a", 1), upstream("odd", 1)));
    try (StoreInstanceList list = instances()) {
      awaitLive(list, "a", "odd");
      report("MODIFIED", object("odd", 2, content));
      report("ADDED", upstream("late", 3));
      awaitLive(list, "a", "late");
      report("MODIFIED", upstream("odd", 4));
      awaitLive(list, "a", "late", "odd");
    }
  }

  /** Guards against processes that large objects of another writer end by memory. */
  @Test
  void largeFieldThatNobodyReadsIsNotKeptAndHidesNoInstance() {
    String note = "[" + "{},".repeat(100_000) + "{}]";
    String large = "{\"role\":\"UPSTREAM\",\"state\":\"LIVE\",\"note\":" + note + "}";
    items.addAll(List.of(upstream("a", 1), object("large", 1, large)));
    List<JsonNode> kept = new CopyOnWriteArrayList<>();
    InformerListener recorder =
        new InformerListener() {
          @Override
          public void changed(StoredObject object) {
            kept.add(object.content());
          }
        };
    try (ObjectInformer informer =
        new ObjectInformer(vertx, store, ObjectKind.INSTANCE, NEVER).listen(recorder).start()) {
      report("ADDED", object("late", 2, large));
      await().atMost(TIMEOUT).until(() -> kept.size() == 3);
      kept.forEach(content -> assertEquals("LIVE", content.path("state").asText()));
      kept.forEach(content -> assertTrue(content.path("note").isMissingNode()));
    }
  }

  @Test
  void listenerThatFailsOnOneObjectReceivesTheOthersAndTheWatchGoesOn() {
    items.addAll(List.of(upstream("a", 1), upstream("odd", 1), upstream("z", 1)));
    List<String> changed = new CopyOnWriteArrayList<>();
    List<String> deleted = new CopyOnWriteArrayList<>();
    InformerListener failing =
        new InformerListener() {
          @Override
          public void changed(StoredObject object) {
            fail(object.key());
            changed.add(object.key().name());
          }

          @Override
          public void deleted(ObjectKey key) {
            fail(key);
            deleted.add(key.name());
          }

          @Override
          public void updated(Map<String, StoredObject> objects) {
            throw new IllegalStateException("on purpose");
          }

          private void fail(ObjectKey key) {
            if (key.name().equals("odd")) {
              throw new StackOverflowError("on purpose");
            }
          }
        };
    try (ObjectInformer informer = new ObjectInformer(vertx, store, ObjectKind.INSTANCE, NEVER)) {
      informer.listen(failing).start();
      await().atMost(TIMEOUT).until(() -> changed.equals(List.of("a", "z")));
      report("MODIFIED", upstream("odd", 2));
      report("DELETED", upstream("odd", 3));
      report("ADDED", upstream("late", 4));
      report("DELETED", upstream("a", 5));
      await().atMost(TIMEOUT).until(() -> changed.equals(List.of("a", "z", "late")));
      await().atMost(TIMEOUT).until(() -> deleted.equals(List.of("a")));
    }
  }

  @Test
  void longPollWatchEndsIfItsResponseCannotBeProcessed() throws Exception {
    assertEquals(StoreFailure.UNAVAILABLE, endOfLongPollWatch("/"));
  }

  /** Guards against watches that ask for the same changes for ever, as a list of pages is small. */
  @ParameterizedTest
  @ValueSource(strings = {"/?large=bytes", "/?large=contents"})
  void longPollWatchWhoseResponseIsTooLargeEndsSoThatObjectsAreListed(String path)
      throws Exception {
    assertEquals(StoreFailure.VERSION_GONE, endOfLongPollWatch(path));
  }

  private StoreFailure endOfLongPollWatch(String path) throws Exception {
    LongPollWatch.Dialect failing =
        new LongPollWatch.Dialect() {
          @Override
          public String path(ObjectKind kind, String fromVersion) {
            return path;
          }

          @Override
          public ContentLimits contentLimits(ObjectKind kind) {
            return ContentLimits.ORDINARY;
          }

          @Override
          public Optional<LongPollWatch.Batch> decode(ObjectKind kind, JsonNode root) {
            throw new IllegalStateException("on purpose");
          }

          @Override
          public StoreFailure failureOf(int status, JsonNode body) {
            return StoreFailure.UNAVAILABLE;
          }
        };
    HttpClient client = vertx.createHttpClient();
    List<StoreException> ends = new CopyOnWriteArrayList<>();
    WatchListener listener =
        new WatchListener() {
          @Override
          public void changed(StoredObject object) {}

          @Override
          public void deleted(ObjectKey key, String resourceVersion) {}

          @Override
          public void ended(StoreException failure) {
            ends.add(failure);
          }
        };
    WatchCall call =
        new WatchCall(
            vertx, client, this::options, ObjectKind.RUNNER, "1", headers -> true, listener);
    try (AutoCloseable watching =
        LongPollWatch.start(call, failing, CALL_TIMEOUT, Duration.ofMillis(1))) {
      await().atMost(TIMEOUT).until(() -> ends.size() == 1);
      return ends.get(0).failure();
    }
  }

  private RequestOptions options(HttpMethod method, String path) {
    return new RequestOptions()
        .setMethod(method)
        .setHost(address.host())
        .setPort(address.port())
        .setURI(path);
  }
}
