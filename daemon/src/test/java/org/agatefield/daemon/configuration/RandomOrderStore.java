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
 * A store in memory whose calls take effect and are answered in an order that a seed decides.
 *
 * <p>Answers are lost, with or without effect, and effects may come long after the answer was given
 * up; reads may lag. Used from one thread.
 */
final class RandomOrderStore implements ObjectStore, Executor {
  /** What a test may switch off. */
  enum Mechanism {
    /** Updates are conditional on the version. */
    CONDITIONAL_UPDATE,
    /** Objects keep the identifiers of the writes that made them. */
    WRITE_IDENTIFIERS
  }

  private static final int IDENTIFIERS = 16;

  private final UniformRandomProvider random;
  private final Set<Mechanism> off;
  private final Map<ObjectKey, List<StoredObject>> versions = new HashMap<>();
  private final List<Runnable> pending = new ArrayList<>();
  private int lastVersion;

  RandomOrderStore(UniformRandomProvider random, Set<Mechanism> off) {
    this.random = random;
    this.off = off.isEmpty() ? EnumSet.noneOf(Mechanism.class) : EnumSet.copyOf(off);
  }

  /** Runs one pending call or answer, chosen by the seed; returns whether there was one. */
  boolean runOne() {
    if (pending.isEmpty()) {
      return false;
    }
    pending.remove(random.nextInt(pending.size())).run();
    return true;
  }

  /** Returns every version that the object ever had, oldest first. */
  List<StoredObject> versionsOf(ObjectKey key) {
    return versions.getOrDefault(key, List.of());
  }

  @Override
  public void execute(Runnable command) {
    pending.add(command);
  }

  @Override
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    CompletableFuture<StoredObject> answer = new CompletableFuture<>();
    pending.add(() -> complete(answer, () -> read(key)));
    return answer;
  }

  private StoredObject read(ObjectKey key) {
    List<StoredObject> known = versionsOf(key);
    int lag = random.nextInt(5) == 0 ? random.nextInt(3) : 0;
    int position = known.size() - 1 - lag;
    if (position < 0) {
      throw new StoreException(StoreFailure.NOT_FOUND, key.toString());
    }
    StoredObject found = known.get(position);
    return off.contains(Mechanism.WRITE_IDENTIFIERS)
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
    CompletableFuture<StoredObject> answer = new CompletableFuture<>();
    switch (random.nextInt(6)) {
      case 0 -> {
        pending.add(() -> fail(answer, StoreFailure.UNKNOWN_RESULT));
        pending.add(() -> complete(new CompletableFuture<>(), effect));
      }
      case 1 -> pending.add(() -> fail(answer, StoreFailure.UNKNOWN_RESULT));
      case 2 -> pending.add(() -> fail(answer, StoreFailure.UNAVAILABLE));
      default -> pending.add(() -> complete(answer, effect));
    }
    return answer;
  }

  private StoredObject put(
      ObjectKey key, Optional<StoredObject> previous, String identifier, JsonNode content) {
    List<StoredObject> known = versions.computeIfAbsent(key, created -> new ArrayList<>());
    Optional<StoredObject> current =
        known.isEmpty() ? Optional.empty() : Optional.of(known.get(known.size() - 1));
    boolean holds =
        current
            .map(StoredObject::resourceVersion)
            .equals(previous.map(StoredObject::resourceVersion));
    if (!holds && !off.contains(Mechanism.CONDITIONAL_UPDATE)) {
      throw new StoreException(
          previous.isEmpty() ? StoreFailure.ALREADY_EXISTS : StoreFailure.CONFLICT, "changed");
    }
    List<String> identifiers = new ArrayList<>(List.of(identifier));
    current.ifPresent(each -> identifiers.addAll(each.writeIdentifiers()));
    List<String> kept = identifiers.subList(0, Math.min(IDENTIFIERS, identifiers.size()));
    StoredObject written = new StoredObject(key, Integer.toString(++lastVersion), kept, content);
    known.add(written);
    return written;
  }

  /** What a call does when it takes effect. */
  private interface Effect {
    StoredObject take();
  }

  private static void complete(CompletableFuture<StoredObject> answer, Effect effect) {
    try {
      answer.complete(effect.take());
    } catch (StoreException exception) {
      answer.completeExceptionally(exception);
    }
  }

  private static void fail(CompletableFuture<StoredObject> answer, StoreFailure failure) {
    answer.completeExceptionally(new StoreException(failure, "a fault of the test"));
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
