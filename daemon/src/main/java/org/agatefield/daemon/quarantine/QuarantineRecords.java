package org.agatefield.daemon.quarantine;

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
 * Keeps the quarantined traits in the platform's store, so that they survive the end of all
 * instances.
 *
 * <p>Times in the store are wall-clock times, since no process outlives its monotonic clock.
 * Confined to one event loop.
 */
public final class QuarantineRecords implements RequestQuarantine.Records {
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
  public QuarantineRecords(ObjectStore store, LongSupplier wallClock, Timers timers) {
    this.store = store;
    this.wallClock = wallClock;
    this.timers = timers;
  }

  @Override
  public CompletableFuture<Void> save(RequestQuarantine.Quarantined trait) {
    JsonNode content =
        JsonNodeFactory.instance
            .objectNode()
            .put(NUMBER_FIELD, trait.number())
            .put(UNTIL_FIELD, wallClock.getAsLong() + trait.remainingMilliseconds());
    return onEventLoop(
        store
            .create(key(trait.trait()), UUID.randomUUID().toString(), content)
            .handle(
                (created, failure) -> {
                  if (failure != null && failureOf(failure) == StoreFailure.CONFLICT) {
                    return replace(trait, content);
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
      RequestQuarantine.Quarantined trait, JsonNode content) {
    return store
        .get(key(trait.trait()))
        .thenCompose(
            previous ->
                previous.content().path(NUMBER_FIELD).asInt() >= trait.number()
                    ? CompletableFuture.completedFuture(previous)
                    : store.update(previous, UUID.randomUUID().toString(), content));
  }

  @Override
  public void delete(String trait, int number) {
    onEventLoop(store.get(key(trait)).thenCompose(found -> deleteUpTo(number, found)))
        .whenComplete(
            (done, failure) -> {
              if (failure == null || failureOf(failure) == StoreFailure.NOT_FOUND) {
                return;
              }
              LOGGER.info("trait={} deleted=false failure=\"{}\"", trait, failure.getMessage());
              timers.after(DELETE_RETRY_MILLISECONDS, () -> delete(trait, number));
            });
  }

  private CompletableFuture<Void> deleteUpTo(int number, StoredObject found) {
    return found.content().path(NUMBER_FIELD).asInt() > number
        ? CompletableFuture.completedFuture(null)
        : store.delete(found);
  }

  @Override
  public CompletableFuture<List<RequestQuarantine.Quarantined>> load() {
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

  private List<RequestQuarantine.Quarantined> current(List<StoredObject> objects) {
    long now = wallClock.getAsLong();
    List<RequestQuarantine.Quarantined> current = new ArrayList<>();
    for (StoredObject object : objects) {
      long until = object.content().path(UNTIL_FIELD).asLong();
      if (until > now) {
        current.add(
            new RequestQuarantine.Quarantined(
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

  private static ObjectKey key(String trait) {
    return new ObjectKey(ObjectKind.QUARANTINE, trait);
  }
}
