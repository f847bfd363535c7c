package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps the quarantined prompt parts in the platform's store, so that they survive the end of all
 * instances.
 *
 * <p>Times in the store are wall-clock times, since no process outlives its monotonic clock.
 * Confined to one event loop.
 */
final class QuarantineRecords implements PromptQuarantine.Records {
  private static final Logger LOGGER = LogManager.getLogger(QuarantineRecords.class);
  private static final String NUMBER_FIELD = "number";
  private static final String UNTIL_FIELD = "until_ms";
  private static final long DELETE_RETRY_MILLISECONDS = 2_000;

  private final ObjectStore store;
  private final LongSupplier wallClock;
  private final Timers timers;

  /**
   * Creates the records of a store.
   *
   * @param wallClock returns the time of day in milliseconds
   * @param timers run the completion of calls on the event loop
   */
  QuarantineRecords(ObjectStore store, LongSupplier wallClock, Timers timers) {
    this.store = store;
    this.wallClock = wallClock;
    this.timers = timers;
  }

  @Override
  public CompletableFuture<Void> save(PromptQuarantine.Quarantined part) {
    JsonNode content =
        JsonNodeFactory.instance
            .objectNode()
            .put(NUMBER_FIELD, part.number())
            .put(UNTIL_FIELD, wallClock.getAsLong() + part.remainingMilliseconds());
    return onEventLoop(
        store
            .create(key(part.part()), UUID.randomUUID().toString(), content)
            .handle(
                (created, failure) -> {
                  if (failure != null && failureOf(failure) == StoreFailure.CONFLICT) {
                    return replace(part, content);
                  }
                  return failure == null
                      ? CompletableFuture.completedFuture(created)
                      : CompletableFuture.<StoredObject>failedFuture(failure);
                })
            .thenCompose(result -> result)
            .thenAccept(saved -> {}));
  }

  /** Replaces the object of a quarantine with a lower number. */
  private CompletableFuture<StoredObject> replace(
      PromptQuarantine.Quarantined part, JsonNode content) {
    return store
        .get(key(part.part()))
        .thenCompose(
            previous ->
                previous.content().path(NUMBER_FIELD).asInt() >= part.number()
                    ? CompletableFuture.completedFuture(previous)
                    : store.update(previous, UUID.randomUUID().toString(), content));
  }

  @Override
  public void delete(String part, int number) {
    onEventLoop(store.get(key(part)).thenCompose(found -> deleteUpTo(number, found)))
        .whenComplete(
            (done, failure) -> {
              if (failure == null || failureOf(failure) == StoreFailure.NOT_FOUND) {
                return;
              }
              LOGGER.info("part={} deleted=false failure=\"{}\"", part, failure.getMessage());
              timers.after(DELETE_RETRY_MILLISECONDS, () -> delete(part, number));
            });
  }

  private CompletableFuture<Void> deleteUpTo(int number, StoredObject found) {
    return found.content().path(NUMBER_FIELD).asInt() > number
        ? CompletableFuture.completedFuture(null)
        : store.delete(found);
  }

  @Override
  public CompletableFuture<List<PromptQuarantine.Quarantined>> load() {
    return onEventLoop(store.list(ObjectKind.QUARANTINE))
        .thenApply(list -> current(list.objects()));
  }

  private <T> CompletableFuture<T> onEventLoop(CompletableFuture<T> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    call.whenComplete(
        (value, failure) ->
            timers.after(
                0,
                () -> {
                  if (failure == null) {
                    result.complete(value);
                  } else {
                    result.completeExceptionally(failure);
                  }
                }));
    return result;
  }

  private List<PromptQuarantine.Quarantined> current(List<StoredObject> objects) {
    long now = wallClock.getAsLong();
    List<PromptQuarantine.Quarantined> current = new ArrayList<>();
    for (StoredObject object : objects) {
      long until = object.content().path(UNTIL_FIELD).asLong();
      if (until > now) {
        current.add(
            new PromptQuarantine.Quarantined(
                object.key().name(), object.content().path(NUMBER_FIELD).asInt(), until - now));
      } else {
        delete(object.key().name(), object.content().path(NUMBER_FIELD).asInt());
      }
    }
    return current;
  }

  private static StoreFailure failureOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof StoreException exception
        ? exception.failure()
        : StoreFailure.UNKNOWN_RESULT;
  }

  private static ObjectKey key(String part) {
    return new ObjectKey(ObjectKind.QUARANTINE, part);
  }
}
