package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Watches a kind through one streaming response of JSON lines that ends only on failure or close.
 *
 * <p>Invariants: {@link WatchListener#ended} is called at most once, and nothing is reported after
 * it or after {@link #close()}; no event is reported once the store is known to be in a later era
 * than the one in which the response began. Safe for use by any thread.
 */
final class HttpWatch implements AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(HttpWatch.class);
  private static final int MAXIMUM_EVENT_BYTES = 16 * 1_048_576; // objects take several megabytes
  private static final int MAXIMUM_REFUSAL_BYTES = 65_536; // a status object is small
  private static final int SUCCESS_STATUS = 200;

  private final WatchCall call;
  private final ContentLimits limits;
  private final ObjectKind kind;
  private final WatchListener listener;
  private final AtomicBoolean finished = new AtomicBoolean();
  private final AtomicReference<HttpClientRequest> request = new AtomicReference<>();

  private HttpWatch(WatchCall call, ContentLimits limits) {
    this.call = call;
    this.limits = limits;
    this.kind = call.kind();
    this.listener = call.listener();
  }

  static HttpWatch start(WatchCall call, ContentLimits limits, RequestOptions options) {
    HttpWatch watch = new HttpWatch(call, limits);
    try {
      call.client().request(options).onSuccess(watch::send).onFailure(watch::fail);
    } catch (IllegalStateException closed) {
      watch.fail(closed);
    }
    return watch;
  }

  @Override
  public void close() {
    finished.set(true);
    HttpClientRequest opened = request.get();
    if (opened != null) {
      opened.reset();
    }
  }

  private void send(HttpClientRequest opened) {
    request.set(opened);
    if (finished.get()) {
      opened.reset();
      return;
    }
    opened.send().onSuccess(this::read).onFailure(this::fail);
  }

  private void read(HttpClientResponse response) {
    response.exceptionHandler(this::fail);
    if (endedByLaterEra(response)) {
      return;
    }
    if (response.statusCode() != SUCCESS_STATUS) {
      BoundedBody.read(response, MAXIMUM_REFUSAL_BYTES)
          .onSuccess(body -> refuse(response.statusCode(), body))
          .onFailure(this::fail);
      return;
    }
    RecordParser lines = RecordParser.newDelimited("\n", response);
    lines.maxRecordSize(MAXIMUM_EVENT_BYTES);
    lines.exceptionHandler(this::fail);
    lines.endHandler(ended -> end(StoreFailure.UNAVAILABLE, "stream ended by the store"));
    lines.handler(
        line -> {
          if (!endedByLaterEra(response)) {
            readLine(line);
          }
        });
  }

  private boolean endedByLaterEra(HttpClientResponse response) {
    if (call.sameHistory().test(response.headers())) {
      return false;
    }
    end(StoreFailure.VERSION_GONE, "the store came back older");
    close();
    return true;
  }

  private void refuse(int status, Buffer body) {
    String reason = ObjectCodec.parse(body).map(root -> root.path("reason").asText()).orElse("");
    end(StatusTable.failureOf(false, status, reason), "status " + status + " " + reason);
  }

  private void readLine(Buffer line) {
    if (finished.get() || line.length() == 0) {
      return;
    }
    try {
      ObjectCodec.parseObjects(line, limits)
          .ifPresentOrElse(
              this::dispatch, () -> LOGGER.warn("watch skips invalid JSON kind={}", kind));
    } catch (RuntimeException exception) {
      LOGGER.error("watch failed kind={}", kind, exception);
      fail(exception);
      close();
    }
  }

  private void dispatch(JsonNode event) {
    JsonNode body = event.path("object");
    switch (event.path("type").asText()) {
      case "ADDED", "MODIFIED" -> ObjectCodec.decode(kind, body).ifPresent(listener::changed);
      case "DELETED" ->
          ObjectCodec.decode(kind, body)
              .ifPresent(object -> listener.deleted(object.key(), object.resourceVersion()));
      case "BOOKMARK" -> listener.reached(body.path("metadata").path("resourceVersion").asText());
      case "ERROR" -> refuse(body.path("code").asInt(), Buffer.buffer(body.toString()));
      default -> {}
    }
  }

  private void fail(Throwable cause) {
    end(StoreFailure.UNAVAILABLE, String.valueOf(cause.getMessage()));
  }

  private void end(StoreFailure failure, String reason) {
    if (finished.compareAndSet(false, true)) {
      listener.ended(new StoreException(failure, "watch of " + kind.plural() + ": " + reason));
    }
  }
}
