package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;

/**
 * HTTP client of an object API whose protocol is defined by a {@link StoreDialect}.
 *
 * <p>A write whose response is lost after its first byte was sent fails with {@link
 * StoreFailure#UNKNOWN_RESULT}; see {@link ResolvingObjectStore}. Invariant: versions that this
 * client returns name the store's era, so that a version identifies one content for ever; a write
 * that replaces a content of an earlier era is not sent once the new era is known, and fails with
 * {@link StoreFailure#HISTORY_LOST} if the store turns out to have come back older before it. Safe
 * for use by any thread; futures complete on Vert.x threads.
 */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {
  private static final int MAXIMUM_CONNECTIONS = 16;
  private static final int MAXIMUM_WAITING_CALLS = 1_000;

  private final Vertx vertx;
  private final Address store;
  private final Duration timeout;
  private final StoreDialect dialect;
  private final HttpClient client;
  private final OwnConnections ownConnections;
  private final StoreEra era = new StoreEra();
  private final Closer closer = new Closer();

  /**
   * Creates a client of a store that follows the Kubernetes API conventions.
   *
   * @param timeout how long a call may take before its result is unknown
   */
  public HttpObjectStore(Vertx vertx, Address store, Duration timeout) {
    this(vertx, store, timeout, new KubernetesDialect());
  }

  /**
   * Creates a client of a store.
   *
   * @param timeout how long a call may take before its result is unknown
   */
  public HttpObjectStore(Vertx vertx, Address store, Duration timeout, StoreDialect dialect) {
    this.vertx = vertx;
    this.store = store;
    this.timeout = timeout;
    this.dialect = dialect;
    HttpClientOptions options =
        new HttpClientOptions().setConnectTimeout((int) Math.max(1, timeout.toMillis()));
    this.client =
        vertx.createHttpClient(
            options,
            new PoolOptions()
                .setHttp1MaxSize(MAXIMUM_CONNECTIONS)
                .setMaxWaitQueueSize(MAXIMUM_WAITING_CALLS));
    this.ownConnections = new OwnConnections(vertx, options);
    closer.register(client::close);
    closer.register(ownConnections);
  }

  @Override
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    return call(HttpMethod.GET, dialect.objectPath(key), Buffer.buffer())
        .thenApply(answer -> objectOf(key, answer));
  }

  @Override
  public CompletableFuture<StoredObject> create(
      ObjectKey key, String writeIdentifier, JsonNode content) {
    Buffer body = dialect.encodeNew(key, writeIdentifier, content);
    return call(HttpMethod.POST, dialect.kindPath(key.kind()), body)
        .thenApply(answer -> objectOf(key, answer));
  }

  @Override
  public CompletableFuture<StoredObject> update(
      StoredObject previous, String writeIdentifier, JsonNode content) {
    StoreVersion version = StoreVersion.parse(previous.resourceVersion());
    if (isOutdated(version)) {
      return CompletableFuture.failedFuture(outdated(previous.key()));
    }
    StoredObject replaced = withVersion(previous, version.revision());
    Buffer body = dialect.encodeUpdate(replaced, writeIdentifier, content);
    return call(HttpMethod.PUT, dialect.objectPath(previous.key()), body)
        .thenApply(
            answer -> {
              StoredObject written = objectOf(previous.key(), answer);
              requireSameEra(previous.key(), version, answer);
              return written;
            });
  }

  @Override
  public CompletableFuture<Void> delete(StoredObject previous) {
    StoreVersion version = StoreVersion.parse(previous.resourceVersion());
    if (isOutdated(version)) {
      return CompletableFuture.failedFuture(outdated(previous.key()));
    }
    StoredObject deleted = withVersion(previous, version.revision());
    return call(HttpMethod.DELETE, dialect.deletePath(deleted), dialect.encodeDelete(deleted))
        .thenAccept(
            answer -> {
              requireSuccess(true, previous.key().toString(), answer);
              requireSameEra(previous.key(), version, answer);
            });
  }

  @Override
  public long era() {
    return era.current();
  }

  /** Reads all pages; returns the version of the first one, so that a watch misses no change. */
  @Override
  public CompletableFuture<ObjectList> list(ObjectKind kind) {
    HttpClient connection = ownConnections.acquire();
    return read(connection, dialect.kindPath(kind))
        .thenApply(answer -> pageOf(kind, answer))
        .thenCompose(page -> readRemainingPages(connection, kind, page.objects(), page))
        .whenComplete((list, failure) -> ownConnections.release(connection));
  }

  private CompletableFuture<ObjectList> readRemainingPages(
      HttpClient connection, ObjectKind kind, ObjectList read, ObjectPage page) {
    if (page.continueToken().isEmpty()) {
      return CompletableFuture.completedFuture(read);
    }
    String path = dialect.nextPagePath(kind, page.continueToken().get());
    return read(connection, path)
        .thenApply(answer -> pageOf(kind, answer))
        .thenCompose(
            next -> {
              requireSameEra(kind, read, next.objects());
              return readRemainingPages(connection, kind, read.append(next.objects()), next);
            });
  }

  @Override
  public CompletableFuture<ObjectPage> listPage(
      ObjectKind kind, int limit, Optional<String> continueToken) {
    return call(HttpMethod.GET, dialect.pagePath(kind, limit, continueToken), Buffer.buffer())
        .thenApply(answer -> pageOf(kind, answer));
  }

  @Override
  public AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener) {
    StoreVersion from = StoreVersion.parse(fromVersion);
    HttpClient connection = ownConnections.acquire();
    Runnable release = () -> ownConnections.release(connection);
    AutoCloseable watch =
        dialect.watch(
            new WatchCall(
                vertx,
                connection,
                this::options,
                kind,
                from.revision(),
                headers -> isOfEra(from.era(), headers),
                new EraListener(from.era(), listener, release)));
    return () -> {
      watch.close();
      release.run();
    };
  }

  /**
   * Adds a listener that is called with the new era when the store has come back from an older
   * copy; it may be called by any thread.
   */
  public void onHistoryLost(LongConsumer listener) {
    era.listen(listener);
  }

  @Override
  public void close() {
    closer.close();
  }

  private CompletableFuture<HttpCall.Answer> call(HttpMethod method, String path, Buffer body) {
    return call(client, method, path, body);
  }

  private CompletableFuture<HttpCall.Answer> call(
      HttpClient connection, HttpMethod method, String path, Buffer body) {
    return HttpCall.start(vertx, connection, options(method, path), body, timeout)
        .thenApply(
            answer -> {
              if (eraOf(answer) < era.current()) {
                StoreFailure failure =
                    answer.write() ? StoreFailure.UNKNOWN_RESULT : StoreFailure.UNAVAILABLE;
                throw new StoreException(failure, path + ": response of an earlier era");
              }
              return answer;
            });
  }

  private CompletableFuture<HttpCall.Answer> read(HttpClient connection, String path) {
    return call(connection, HttpMethod.GET, path, Buffer.buffer());
  }

  private long eraOf(HttpCall.Answer answer) {
    return era.observe(dialect.era(answer.headers()));
  }

  private boolean isOfEra(long expected, MultiMap headers) {
    return era.observe(dialect.era(headers)) == expected && era.current() == expected;
  }

  private boolean isOutdated(StoreVersion version) {
    return version.era() < era.current();
  }

  private static StoreException outdated(ObjectKey key) {
    return new StoreException(
        StoreFailure.CONFLICT, key + ": read in an earlier era of the store; nothing was sent");
  }

  private void requireSameEra(ObjectKey key, StoreVersion version, HttpCall.Answer answer) {
    if (eraOf(answer) != version.era()) {
      throw new StoreException(
          StoreFailure.HISTORY_LOST, key + ": the store came back older before the write");
    }
  }

  private static void requireSameEra(ObjectKind kind, ObjectList first, ObjectList next) {
    long era = StoreVersion.parse(first.resourceVersion()).era();
    if (StoreVersion.parse(next.resourceVersion()).era() != era) {
      throw new StoreException(
          StoreFailure.UNAVAILABLE, kind.plural() + ": the store came back older between pages");
    }
  }

  private static StoredObject withVersion(StoredObject object, String version) {
    return new StoredObject(object.key(), version, object.writeIdentifiers(), object.content());
  }

  private static StoredObject inEra(long era, StoredObject object) {
    return withVersion(object, new StoreVersion(era, object.resourceVersion()).toString());
  }

  private static ObjectPage inEra(long era, ObjectPage page) {
    List<StoredObject> objects =
        page.objects().objects().stream().map(object -> inEra(era, object)).toList();
    String version = new StoreVersion(era, page.objects().resourceVersion()).toString();
    return new ObjectPage(new ObjectList(version, objects), page.continueToken());
  }

  private RequestOptions options(HttpMethod method, String path) {
    return new RequestOptions()
        .setMethod(method)
        .setHost(store.host())
        .setPort(store.port())
        .setURI(path)
        .putHeader("Content-Type", "application/json");
  }

  private void requireSuccess(boolean write, String subject, HttpCall.Answer answer) {
    StatusTable.requireSuccess(write, subject, answer, dialect);
  }

  private StoredObject objectOf(ObjectKey key, HttpCall.Answer answer) {
    boolean write = answer.write();
    requireSuccess(write, key.toString(), answer);
    return ObjectCodec.parse(answer.body())
        .flatMap(root -> dialect.decodeObject(key.kind(), root))
        .map(object -> inEra(eraOf(answer), object))
        .orElseThrow(() -> malformed(write, key.toString()));
  }

  private ObjectPage pageOf(ObjectKind kind, HttpCall.Answer answer) {
    requireSuccess(false, kind.plural(), answer);
    return ObjectCodec.parseObjects(answer.body(), dialect.contentLimits(kind))
        .flatMap(root -> dialect.decodePage(kind, root))
        .map(page -> inEra(eraOf(answer), page))
        .orElseThrow(() -> malformed(false, kind.plural()));
  }

  /** Adds the era in which a watch began to the versions that it reports. */
  private record EraListener(long era, WatchListener listener, Runnable release)
      implements WatchListener {
    @Override
    public void changed(StoredObject object) {
      listener.changed(inEra(era, object));
    }

    @Override
    public void deleted(ObjectKey key, String resourceVersion) {
      listener.deleted(key, new StoreVersion(era, resourceVersion).toString());
    }

    @Override
    public void reached(String resourceVersion) {
      listener.reached(new StoreVersion(era, resourceVersion).toString());
    }

    @Override
    public void ended(StoreException failure) {
      release.run();
      listener.ended(failure);
    }
  }

  private static StoreException malformed(boolean write, String subject) {
    StoreFailure failure = write ? StoreFailure.UNKNOWN_RESULT : StoreFailure.UNAVAILABLE;
    return new StoreException(failure, subject + ": malformed response of the store");
  }
}
