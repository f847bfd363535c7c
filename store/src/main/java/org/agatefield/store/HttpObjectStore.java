package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;

/**
 * HTTP client of an object API whose protocol is defined by a {@link StoreDialect}.
 *
 * <p>A write whose response is lost after its first byte was sent fails with {@link
 * StoreFailure#UNKNOWN_RESULT}; see {@link ResolvingObjectStore}. Safe for use by any thread;
 * futures complete on Vert.x threads.
 */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {
  private static final int MAXIMUM_CONNECTIONS = 16;
  private static final int MAXIMUM_WAITING_CALLS = 1_000;
  private static final int MAXIMUM_WATCHES = 16;

  private final Vertx vertx;
  private final Address store;
  private final Duration timeout;
  private final StoreDialect dialect;
  private final HttpClient client;
  private final HttpClient watchClient;
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
    this.watchClient =
        vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAXIMUM_WATCHES));
    closer.register(client::close);
    closer.register(watchClient::close);
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
    Buffer body = dialect.encodeUpdate(previous, writeIdentifier, content);
    return call(HttpMethod.PUT, dialect.objectPath(previous.key()), body)
        .thenApply(answer -> objectOf(previous.key(), answer));
  }

  @Override
  public CompletableFuture<Void> delete(StoredObject previous) {
    return call(HttpMethod.DELETE, dialect.deletePath(previous), dialect.encodeDelete(previous))
        .thenAccept(answer -> requireSuccess(true, previous.key().toString(), answer));
  }

  /** Reads all pages; returns the version of the first one, so that a watch misses no change. */
  @Override
  public CompletableFuture<ObjectList> list(ObjectKind kind) {
    return call(HttpMethod.GET, dialect.kindPath(kind), Buffer.buffer())
        .thenApply(answer -> pageOf(kind, answer))
        .thenCompose(page -> readRemainingPages(kind, page.objects(), page));
  }

  private CompletableFuture<ObjectList> readRemainingPages(
      ObjectKind kind, ObjectList read, ObjectPage page) {
    if (page.continueToken().isEmpty()) {
      return CompletableFuture.completedFuture(read);
    }
    String path = dialect.nextPagePath(kind, page.continueToken().get());
    return call(HttpMethod.GET, path, Buffer.buffer())
        .thenApply(answer -> pageOf(kind, answer))
        .thenCompose(next -> readRemainingPages(kind, read.append(next.objects()), next));
  }

  @Override
  public CompletableFuture<ObjectPage> listPage(
      ObjectKind kind, int limit, Optional<String> continueToken) {
    return call(HttpMethod.GET, dialect.pagePath(kind, limit, continueToken), Buffer.buffer())
        .thenApply(answer -> pageOf(kind, answer));
  }

  @Override
  public AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener) {
    return dialect.watch(
        new WatchCall(vertx, watchClient, this::options, kind, fromVersion, listener));
  }

  @Override
  public void close() {
    closer.close();
  }

  private CompletableFuture<HttpCall.Answer> call(HttpMethod method, String path, Buffer body) {
    return HttpCall.start(vertx, client, options(method, path), body, timeout)
        .thenApply(
            answer -> {
              era.observe(dialect.era(answer.headers()));
              return answer;
            });
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
        .orElseThrow(() -> malformed(write, key.toString()));
  }

  private ObjectPage pageOf(ObjectKind kind, HttpCall.Answer answer) {
    requireSuccess(false, kind.plural(), answer);
    return ObjectCodec.parse(answer.body())
        .flatMap(root -> dialect.decodePage(kind, root))
        .orElseThrow(() -> malformed(false, kind.plural()));
  }

  private static StoreException malformed(boolean write, String subject) {
    StoreFailure failure = write ? StoreFailure.UNKNOWN_RESULT : StoreFailure.UNAVAILABLE;
    return new StoreException(failure, subject + ": malformed response of the store");
  }
}
