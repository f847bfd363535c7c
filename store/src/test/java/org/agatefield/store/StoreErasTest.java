package org.agatefield.store;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.agatefield.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which eras {@link HttpObjectStore} takes from responses, against a server that is told. */
class StoreErasTest {
  private static final ObjectKey KEY = new ObjectKey(ObjectKind.LEDGER, "one");
  private static final Duration LIMIT = Duration.ofSeconds(10);

  private final Vertx vertx = Vertx.vertx();
  private final BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
  private final List<HttpServerRequest> requests = new CopyOnWriteArrayList<>();
  private final HttpServer server =
      vertx
          .createHttpServer()
          .requestHandler(this::serve)
          .listen(0, "127.0.0.1")
          .toCompletionStage()
          .toCompletableFuture()
          .join();
  private final HttpObjectStore store =
      new HttpObjectStore(vertx, new Address("127.0.0.1", server.actualPort()), LIMIT);
  private final List<Long> eras = new CopyOnWriteArrayList<>();

  /** A response; a stream stays open. */
  private record Reply(String era, int status, String body, boolean stream) {}

  private void serve(HttpServerRequest request) {
    requests.add(request);
    Reply reply = replies.remove();
    HttpServerResponse response = request.response().setStatusCode(reply.status());
    if (!reply.era().isEmpty()) {
      response.putHeader("Store-Era", reply.era());
    }
    if (reply.stream()) {
      response.setChunked(true).write(reply.body());
    } else {
      response.end(reply.body());
    }
  }

  @AfterEach
  void close() {
    store.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void reply(String era, int status, String body) {
    replies.add(new Reply(era, status, body, false));
  }

  private static String object(long revision, String content) {
    return "{\"metadata\":{\"name\":\"one\",\"resourceVersion\":\""
        + revision
        + "\"},\"spec\":\""
        + content
        + "\"}";
  }

  private StoredObject get(String era, long revision) {
    reply(era, 200, object(revision, "content"));
    return store.get(KEY).join();
  }

  private static Optional<StoreFailure> failureOf(CompletableFuture<?> future) {
    return StoreException.failureOf(assertThrows(CompletionException.class, future::join));
  }

  private CompletableFuture<StoredObject> update(StoredObject previous) {
    return store.update(previous, "mine", JsonNodeFactory.instance.textNode("next"));
  }

  /** Records the events of a watch. */
  private static final class Recorder implements WatchListener {
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    @Override
    public void changed(StoredObject object) {
      events.add(object.resourceVersion() + ' ' + object.content().asText());
    }

    @Override
    public void deleted(ObjectKey key, String resourceVersion) {
      events.add("deleted " + resourceVersion);
    }

    @Override
    public void ended(StoreException failure) {
      events.add("ended " + failure.failure());
    }

    String next() throws InterruptedException {
      return events.poll(LIMIT.toSeconds(), TimeUnit.SECONDS);
    }
  }

  @Test
  void versionsOfStoreThatNamesNoEraAreItsRevisions() {
    StoredObject read = get("", 5);
    assertEquals("5", read.resourceVersion());
    reply("", 200, object(6, "next"));
    assertEquals("6", update(read).join().resourceVersion());
    assertEquals(StoreVersion.NO_ERA, store.era());
  }

  @Test
  void eraThatIsNoPositiveNumberCountsAsNone() {
    for (String era : List.of("second", "0", "-1", "1.5", "99999999999999999999")) {
      assertEquals("5", get(era, 5).resourceVersion());
    }
  }

  @Test
  void responseWithoutEraBelongsToTheLatestOne() {
    get("2", 5);
    assertEquals("2/6", get("", 6).resourceVersion());
  }

  @Test
  void eraThatAppearsInMidLifeMakesEarlierVersionsOutdated() throws Exception {
    StoredObject before = get("", 5);
    assertEquals("1/5", get("1", 5).resourceVersion());
    assertEquals(Optional.of(StoreFailure.CONFLICT), failureOf(update(before)));
    assertEquals(Optional.of(StoreFailure.CONFLICT), failureOf(store.delete(before)));
    assertEquals(2, requests.size());
    replies.add(new Reply("1", 200, "\n", true));
    Recorder recorder = new Recorder();
    store.watch(ObjectKind.LEDGER, "5", recorder);
    assertEquals("ended VERSION_GONE", recorder.next());
  }

  @Test
  void eraThatAppearsForTheFirstTimeIsNoLostHistory() {
    store.onHistoryLost(eras::add);
    get("", 5);
    get("7", 5);
    assertEquals(List.of(), eras);
    get("8", 5);
    assertEquals(List.of(8L), eras);
  }

  @Test
  void failuresThatCarryNewEraAreNoticed() {
    store.onHistoryLost(eras::add);
    get("1", 5);
    List<Integer> statuses = List.of(410, 409, 404, 429, 503, 500);
    List<Long> expected = new ArrayList<>();
    for (int index = 0; index < statuses.size(); index++) {
      long era = index + 2;
      reply(Long.toString(era), statuses.get(index), "");
      failureOf(store.get(KEY));
      expected.add(era);
      assertEquals(expected, eras);
      assertEquals(era, store.era());
    }
  }

  @Test
  void watchThatIsRefusedInNewEraIsGone() throws Exception {
    get("1", 5);
    for (int status : List.of(410, 404, 429, 503)) {
      reply(Long.toString(store.era() + 1), status, "");
      Recorder recorder = new Recorder();
      store.watch(ObjectKind.LEDGER, store.era() + "/5", recorder);
      assertEquals("ended VERSION_GONE", recorder.next());
    }
    assertEquals(5, store.era());
  }

  @Test
  void conflictOfNewEraHadNoEffect() {
    StoredObject read = get("1", 5);
    reply("2", 409, "{\"reason\":\"Conflict\"}");
    assertEquals(Optional.of(StoreFailure.CONFLICT), failureOf(update(read)));
  }

  @Test
  void writeOfContentOfEarlierEraThatMetItsRevisionAgainHasLostItsHistory() {
    StoredObject read = get("1", 5);
    reply("2", 200, object(6, "next"));
    assertEquals(Optional.of(StoreFailure.HISTORY_LOST), failureOf(update(read)));
    StoredObject later = get("2", 6);
    reply("3", 200, "{}");
    assertEquals(Optional.of(StoreFailure.HISTORY_LOST), failureOf(store.delete(later)));
  }

  @Test
  void responseOfEarlierEraThanTheLatestOneIsNone() {
    final StoredObject read = get("2", 5);
    reply("1", 200, object(9, "old"));
    assertEquals(Optional.of(StoreFailure.UNAVAILABLE), failureOf(store.get(KEY)));
    reply("1", 200, object(9, "old"));
    assertEquals(Optional.of(StoreFailure.UNKNOWN_RESULT), failureOf(update(read)));
  }

  @Test
  void pagesOfTwoErasAreNoList() {
    reply("1", 200, page("7", "a", "\"continue\":\"a\","));
    reply("2", 200, page("7", "b", ""));
    assertEquals(Optional.of(StoreFailure.UNAVAILABLE), failureOf(store.list(ObjectKind.LEDGER)));
    reply("2", 200, page("7", "a", "\"continue\":\"a\","));
    reply("2", 200, page("9", "b", ""));
    ObjectList list = store.list(ObjectKind.LEDGER).join();
    assertEquals("2/7", list.resourceVersion());
    assertEquals(
        List.of("2/1", "2/1"), list.objects().stream().map(StoredObject::resourceVersion).toList());
  }

  private static String page(String version, String name, String next) {
    return "{\"metadata\":{"
        + next
        + "\"resourceVersion\":\""
        + version
        + "\"},\"items\":[{\"metadata\":{\"name\":\""
        + name
        + "\",\"resourceVersion\":\"1\"},\"spec\":{}}]}";
  }

  private static String event(long revision, String content) {
    return "{\"type\":\"MODIFIED\",\"object\":" + object(revision, content) + "}\n";
  }

  @Test
  void streamThatOutlivesItsEraReportsNothingOfTheNextOne() throws Exception {
    get("1", 5);
    replies.add(new Reply("1", 200, event(6, "of era 1"), true));
    Recorder recorder = new Recorder();
    store.watch(ObjectKind.LEDGER, "1/5", recorder);
    assertEquals("1/6 of era 1", recorder.next());
    get("2", 5);
    requests.get(1).response().write(event(6, "of era 2"));
    assertEquals("ended VERSION_GONE", recorder.next());
    await().atMost(LIMIT).until(() -> requests.get(1).response().closed());
  }
}
