package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
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
 * <p>Calls that fail are logged and tried again by {@link #retry}. Times in the store are
 * wall-clock times, since no process outlives its monotonic clock. Confined to one event loop.
 */
final class QuarantineRecords implements PromptQuarantine.Records {
  private static final Logger LOGGER = LogManager.getLogger(QuarantineRecords.class);
  private static final String SINCE_FIELD = "since_ms";
  private static final String UNTIL_FIELD = "until_ms";

  private final ObjectStore store;
  private final LongSupplier wallClock;
  private final Consumer<Runnable> eventLoop;
  private final Set<Entry> unsaved = new HashSet<>();
  private final Set<String> undeleted = new HashSet<>();

  private record Entry(String part, long sinceWallMilliseconds, long untilWallMilliseconds) {}

  /**
   * Creates the records of a store.
   *
   * @param wallClock returns the time of day in milliseconds
   * @param eventLoop runs the completion of calls
   */
  QuarantineRecords(ObjectStore store, LongSupplier wallClock, Consumer<Runnable> eventLoop) {
    this.store = store;
    this.wallClock = wallClock;
    this.eventLoop = eventLoop;
  }

  @Override
  public void save(String part, long ageMilliseconds, long remainingMilliseconds) {
    long now = wallClock.getAsLong();
    Entry entry = new Entry(part, now - ageMilliseconds, now + remainingMilliseconds);
    undeleted.remove(part);
    unsaved.add(entry);
    create(entry);
  }

  @Override
  public void delete(String part) {
    unsaved.removeIf(entry -> entry.part().equals(part));
    undeleted.add(part);
    deleteStored(part);
  }

  @Override
  public void retry() {
    List.copyOf(unsaved).forEach(this::create);
    List.copyOf(undeleted).forEach(this::deleteStored);
  }

  @Override
  public CompletableFuture<List<PromptQuarantine.Quarantined>> load() {
    CompletableFuture<List<PromptQuarantine.Quarantined>> loaded = new CompletableFuture<>();
    store
        .list(ObjectKind.QUARANTINE)
        .whenComplete(
            (list, failure) ->
                eventLoop.accept(
                    () -> {
                      if (failure != null) {
                        loaded.completeExceptionally(failure);
                      } else {
                        loaded.complete(current(list.objects()));
                      }
                    }));
    return loaded;
  }

  private List<PromptQuarantine.Quarantined> current(List<StoredObject> objects) {
    long now = wallClock.getAsLong();
    List<PromptQuarantine.Quarantined> current = new ArrayList<>();
    for (StoredObject object : objects) {
      long since = object.content().path(SINCE_FIELD).asLong();
      long until = object.content().path(UNTIL_FIELD).asLong();
      if (until > now) {
        current.add(
            new PromptQuarantine.Quarantined(
                object.key().name(), Math.max(0, now - since), until - now));
      } else {
        delete(object.key().name());
      }
    }
    return current;
  }

  private void create(Entry entry) {
    JsonNode content =
        JsonNodeFactory.instance
            .objectNode()
            .put(SINCE_FIELD, entry.sinceWallMilliseconds())
            .put(UNTIL_FIELD, entry.untilWallMilliseconds());
    store
        .create(key(entry.part()), UUID.randomUUID().toString(), content)
        .whenComplete((object, failure) -> eventLoop.accept(() -> saved(entry, content, failure)));
  }

  private void saved(Entry entry, JsonNode content, Throwable failure) {
    if (failure == null) {
      unsaved.remove(entry);
      LOGGER.info("quarantined={} stored=true", entry.part());
    } else if (failureOf(failure) == StoreFailure.CONFLICT) {
      replace(entry, content);
    } else {
      LOGGER.info("quarantined={} stored=false failed=\"{}\"", entry.part(), failure.getMessage());
    }
  }

  /** Replaces an object of an earlier quarantine, unless it ends at least as late. */
  private void replace(Entry entry, JsonNode content) {
    store
        .get(key(entry.part()))
        .thenCompose(
            previous ->
                previous.content().path(UNTIL_FIELD).asLong() >= entry.untilWallMilliseconds()
                    ? CompletableFuture.completedFuture(previous)
                    : store.update(previous, UUID.randomUUID().toString(), content))
        .whenComplete(
            (object, failure) ->
                eventLoop.accept(
                    () -> {
                      if (failure == null) {
                        unsaved.remove(entry);
                      } else {
                        LOGGER.info(
                            "quarantined={} stored=false failed=\"{}\"",
                            entry.part(),
                            failure.getMessage());
                      }
                    }));
  }

  private void deleteStored(String part) {
    store
        .get(key(part))
        .thenCompose(store::delete)
        .whenComplete(
            (done, failure) ->
                eventLoop.accept(
                    () -> {
                      if (failure == null || failureOf(failure) == StoreFailure.NOT_FOUND) {
                        undeleted.remove(part);
                      } else {
                        LOGGER.info(
                            "quarantined={} deleted=false failed=\"{}\"",
                            part,
                            failure.getMessage());
                      }
                    }));
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
