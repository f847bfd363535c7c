package org.agatefield.daemon.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectList;
import org.agatefield.store.ObjectPage;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoredObject;
import org.agatefield.store.WatchListener;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * An in-memory store whose calls take effect and complete in an order determined by a seed.
 *
 * <p>Responses may be lost, with or without effect; a call may take effect long after it was
 * reported as unknown; reads may be stale. Not thread-safe.
 */
final class RandomOrderStore implements ObjectStore, Executor {
  /** Mechanisms of the store that a test can disable. */
  enum Mechanism {
    /** Updates are conditional on the version. */
    CONDITIONAL_UPDATE,
    /** Objects contain the identifiers of the writes that produced them. */
    WRITE_IDENTIFIERS
  }

  private static final int MAXIMUM_IDENTIFIERS = 16;

  private final UniformRandomProvider random;
  private final Set<Mechanism> disabled;
  private final Map<ObjectKey, List<StoredObject>> versions = new HashMap<>();
  private final List<Runnable> pending = new ArrayList<>();
  private int lastVersion;

  RandomOrderStore(UniformRandomProvider random, Set<Mechanism> disabled) {
    this.random = random;
    this.disabled = disabled.isEmpty() ? EnumSet.noneOf(Mechanism.class) : EnumSet.copyOf(disabled);
  }

  /** Runs one randomly chosen pending call or response; returns whether there was one. */
  boolean runNext() {
    if (pending.isEmpty()) {
      return false;
    }
    pending.remove(random.nextInt(pending.size())).run();
    return true;
  }

  /** Returns all versions of the object, oldest first. */
  List<StoredObject> versionsOf(ObjectKey key) {
    return versions.getOrDefault(key, List.of());
  }

  @Override
  public void execute(Runnable command) {
    pending.add(command);
  }

  @Override
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    CompletableFuture<StoredObject> response = new CompletableFuture<>();
    pending.add(() -> complete(response, () -> read(key)));
    return response;
  }

  private StoredObject read(ObjectKey key) {
    List<StoredObject> known = versionsOf(key);
    int lag = random.nextInt(5) == 0 ? random.nextInt(3) : 0;
    int position = known.size() - 1 - lag;
    if (position < 0) {
      throw new StoreException(StoreFailure.NOT_FOUND, key.toString());
    }
    StoredObject found = known.get(position);
    return disabled.contains(Mechanism.WRITE_IDENTIFIERS)
        ? new StoredObject(key, found.resourceVersion(), List.of(), found.content())
        : found;
  }

  @Override
  public CompletableFuture<StoredObject> create(
      ObjectKey key, String writeIdentifier, JsonNode content) {
    return write(() -> put(key, Optional.empty(), writeIdentifier, content));
  }

  @Override
  public CompletableFuture<StoredObject> update(
      StoredObject previous, String writeIdentifier, JsonNode content) {
    return write(() -> put(previous.key(), Optional.of(previous), writeIdentifier, content));
  }

  private CompletableFuture<StoredObject> write(Effect effect) {
    CompletableFuture<StoredObject> response = new CompletableFuture<>();
    switch (random.nextInt(6)) {
      case 0 -> {
        pending.add(() -> fail(response, StoreFailure.UNKNOWN_RESULT));
        pending.add(() -> complete(new CompletableFuture<>(), effect));
      }
      case 1 -> pending.add(() -> fail(response, StoreFailure.UNKNOWN_RESULT));
      case 2 -> pending.add(() -> fail(response, StoreFailure.UNAVAILABLE));
      default -> pending.add(() -> complete(response, effect));
    }
    return response;
  }

  private StoredObject put(
      ObjectKey key, Optional<StoredObject> previous, String identifier, JsonNode content) {
    List<StoredObject> known = versions.computeIfAbsent(key, created -> new ArrayList<>());
    Optional<StoredObject> current =
        known.isEmpty() ? Optional.empty() : Optional.of(known.get(known.size() - 1));
    boolean conditionHolds =
        current
            .map(StoredObject::resourceVersion)
            .equals(previous.map(StoredObject::resourceVersion));
    if (!conditionHolds && !disabled.contains(Mechanism.CONDITIONAL_UPDATE)) {
      throw new StoreException(
          previous.isEmpty() ? StoreFailure.ALREADY_EXISTS : StoreFailure.CONFLICT, "changed");
    }
    List<String> identifiers = new ArrayList<>(List.of(identifier));
    current.ifPresent(each -> identifiers.addAll(each.writeIdentifiers()));
    List<String> kept = identifiers.subList(0, Math.min(MAXIMUM_IDENTIFIERS, identifiers.size()));
    StoredObject written = new StoredObject(key, Integer.toString(++lastVersion), kept, content);
    known.add(written);
    return written;
  }

  /** The effect of a call on the stored objects. */
  private interface Effect {
    StoredObject apply();
  }

  private static void complete(CompletableFuture<StoredObject> response, Effect effect) {
    try {
      response.complete(effect.apply());
    } catch (StoreException exception) {
      response.completeExceptionally(exception);
    }
  }

  private static void fail(CompletableFuture<StoredObject> response, StoreFailure failure) {
    response.completeExceptionally(new StoreException(failure, "injected by the test"));
  }

  @Override
  public CompletableFuture<Void> delete(StoredObject previous) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<ObjectList> list(ObjectKind kind) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<ObjectPage> listPage(
      ObjectKind kind, int limit, Optional<String> continueToken) {
    throw new UnsupportedOperationException();
  }

  @Override
  public AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener) {
    throw new UnsupportedOperationException();
  }
}
