package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Watches a kind by long polling.
 *
 * <p>A call that exceeds its time limit counts as a lost connection. Invariants: at most one call
 * runs at a time; {@link WatchListener#ended} is called at most once, also if a response cannot be
 * processed, and nothing is reported after it or after {@link #close()}. Safe for use by any
 * thread.
 */
public final class LongPollWatch implements AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(LongPollWatch.class);
  private static final int SUCCESS_STATUS = 200;

  private final WatchCall call;
  private final Dialect dialect;
  private final Duration limit;
  private final long pauseMilliseconds;
  private final AtomicBoolean finished = new AtomicBoolean();

  private LongPollWatch(WatchCall call, Dialect dialect, Duration limit, Duration pause) {
    this.call = call;
    this.dialect = dialect;
    this.limit = limit;
    this.pauseMilliseconds = Math.max(1, pause.toMillis());
  }

  /**
   * Starts a watch.
   *
   * @param limit the timeout of one call, including its wait for changes
   * @param pause the delay before the next call after changes, so that a call returns several
   */
  public static AutoCloseable start(
      WatchCall call, Dialect dialect, Duration limit, Duration pause) {
    LongPollWatch watch = new LongPollWatch(call, dialect, limit, pause);
    watch.poll(call.fromVersion());
    return watch;
  }

  /** Defines the long-polling calls. Implementations are safe for use by any thread. */
  public interface Dialect {
    /** Returns the path of the call that reports changes after a version. */
    String path(ObjectKind kind, String fromVersion);

    /** Returns the limits of what is read of the contents of a kind. */
    ContentLimits contentLimits(ObjectKind kind);

    /** Decodes a response; empty if {@code root} is malformed. */
    Optional<Batch> decode(ObjectKind kind, JsonNode root);

    /** Returns the failure for a response status and body. */
    StoreFailure failureOf(int status, JsonNode body);
  }

  /**
   * The changes that one call returned. Immutable.
   *
   * @param version the store's version after the changes
   * @param changes the changes in the order of their versions
   */
  public record Batch(String version, List<Change> changes) {
    /** Copies the list. */
    public Batch {
      changes = List.copyOf(changes);
    }
  }

  /**
   * A change of one object. Immutable.
   *
   * @param object the current object, or its last state if it was deleted
   * @param deleted whether the object was deleted
   */
  public record Change(StoredObject object, boolean deleted) {}

  @Override
  public void close() {
    finished.set(true);
  }

  private void poll(String version) {
    if (finished.get()) {
      return;
    }
    String path = dialect.path(call.kind(), version);
    HttpCall.start(
            call.vertx(),
            call.client(),
            call.options().apply(HttpMethod.GET, path),
            Buffer.buffer(),
            limit)
        .whenComplete((answer, failure) -> completed(answer, failure));
  }

  private void completed(HttpCall.Answer answer, Throwable failure) {
    try {
      process(answer, failure);
    } catch (StoreException exception) {
      end(failureToReport(exception), exception.getMessage());
    } catch (RuntimeException exception) {
      LOGGER.error("watch failed kind={}", call.kind(), exception);
      end(StoreFailure.UNAVAILABLE, exception.toString());
    }
  }

  private void process(HttpCall.Answer answer, Throwable failure) {
    if (failure != null) {
      end(failureToReport(failure), String.valueOf(failure.getMessage()));
      return;
    }
    if (!call.sameHistory().test(answer.headers())) {
      end(StoreFailure.VERSION_GONE, "the store came back older");
      return;
    }
    if (answer.status() != SUCCESS_STATUS) {
      JsonNode root = ObjectCodec.parse(answer.body()).orElse(MissingNode.getInstance());
      end(dialect.failureOf(answer.status(), root), "status " + answer.status());
      return;
    }
    Optional<Batch> batch =
        ObjectCodec.parseObjects(answer.body(), dialect.contentLimits(call.kind()))
            .flatMap(root -> dialect.decode(call.kind(), root));
    if (batch.isEmpty()) {
      end(StoreFailure.UNAVAILABLE, "response is not a list of changes");
      return;
    }
    report(batch.get());
    if (batch.get().changes().isEmpty()) {
      poll(batch.get().version());
    } else {
      call.vertx().setTimer(pauseMilliseconds, fired -> poll(batch.get().version()));
    }
  }

  /** Returns a failure after which the objects are listed if the changes are too many to read. */
  private static StoreFailure failureToReport(Throwable cause) {
    boolean tooLarge =
        cause instanceof StoreException known && known.failure() == StoreFailure.TOO_LARGE;
    return tooLarge ? StoreFailure.VERSION_GONE : StoreFailure.UNAVAILABLE;
  }

  private void report(Batch batch) {
    for (Change change : batch.changes()) {
      if (finished.get()) {
        return;
      }
      if (change.deleted()) {
        call.listener().deleted(change.object().key(), change.object().resourceVersion());
      } else {
        call.listener().changed(change.object());
      }
    }
    if (!finished.get()) {
      call.listener().reached(batch.version());
    }
  }

  private void end(StoreFailure failure, String reason) {
    if (finished.compareAndSet(false, true)) {
      call.listener()
          .ended(new StoreException(failure, "watch of " + call.kind().plural() + ": " + reason));
    }
  }
}
