package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.agatefield.daemon.peers.CompressedJson;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.peer.PeerMessage;
import org.agatefield.store.InformerListener;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.StoreVersion;
import org.agatefield.store.StoredObject;

/**
 * Serves the objects of one kind and their changes to other instances.
 *
 * <p>Invariants: requests fail until the objects are known, and while they may be stale because
 * their source does not respond or has not confirmed them recently; of each object only the latest
 * content is kept, which stands for all changes before it; a requester that is too far behind gets
 * all objects. Versions are valid only for this process; they name the store's era, so that a
 * requester that knows a later one does not go back. Confined to one event loop.
 */
final class ObjectRelay implements InformerListener {
  private static final int MAXIMUM_CHANGES = 512;
  // Longer than the longest wait of a watch. A suspended process receives no confirmations and
  // becomes stale.
  private static final long STALE_AFTER_MILLISECONDS = 2_500;
  // Batches changes that occur close together into one response.
  private static final long BATCH_MILLISECONDS = 20;

  private final Vertx vertx;
  private final String processId;
  private final Map<String, RelayedObject> objects = new HashMap<>();
  private final Map<String, Change> changes = new LinkedHashMap<>(); // By name, oldest first.
  private final List<Pending> pending = new ArrayList<>();
  private long lastChange;
  private long forgottenChange;
  private long era = StoreVersion.NO_ERA;
  private final LongSupplier clock;
  private long confirmedAt;
  private boolean initialized;
  private boolean available = true;
  private boolean interrupted;
  private boolean batching;

  /**
   * The last change of an object. Immutable.
   *
   * @param version the object's version, the last known one if it was deleted
   */
  private record Change(long number, String version) {}

  /** A relayed object; serialized once, on the first request. */
  private static final class RelayedObject {
    private final String name;
    private final String version;
    private final JsonNode content;
    private PeerMessage.ObjectState state;

    RelayedObject(String name, String version, JsonNode content) {
      this.name = name;
      this.version = version;
      this.content = content;
    }

    PeerMessage.ObjectState state() {
      if (state == null) {
        state =
            new PeerMessage.ObjectState(
                name, version, Optional.of(CompressedJson.compress(content)));
      }
      return state;
    }
  }

  private record Pending(long afterChange, CompletableFuture<PeerMessage> answer, long timer) {}

  /**
   * Creates a relay.
   *
   * @param processId unique to this process
   * @param clock returns monotonic milliseconds
   */
  ObjectRelay(Vertx vertx, String processId, LongSupplier clock) {
    this.vertx = vertx;
    this.processId = processId;
    this.clock = clock;
  }

  @Override
  public void listed(String resourceVersion) {
    long listedEra = RelayedObjectSource.eraOf(resourceVersion);
    if (listedEra <= era) {
      return;
    }
    era = listedEra;
    changes.clear(); // Requesters list all objects, which tells them what the store has lost.
    lastChange++;
    forgottenChange = lastChange;
  }

  @Override
  public void changed(StoredObject object) {
    RelayedObject relayed =
        new RelayedObject(object.key().name(), object.resourceVersion(), object.content());
    objects.put(relayed.name, relayed);
    record(relayed.name, relayed.version);
  }

  @Override
  public void deleted(ObjectKey key) {
    RelayedObject before = objects.remove(key.name());
    record(key.name(), before == null ? "" : before.version);
  }

  @Override
  public void confirmed() {
    initialized = true;
    interrupted = false;
    confirmedAt = clock.getAsLong();
  }

  @Override
  public void interrupted() {
    interrupted = true;
    failPending();
  }

  @Override
  public void availabilityChanged(boolean answers) {
    available = answers;
    if (!answers) {
      failPending();
    }
  }

  private void failPending() {
    List<Pending> failed = List.copyOf(pending);
    pending.clear();
    failed.forEach(
        each -> {
          vertx.cancelTimer(each.timer());
          each.answer().completeExceptionally(unavailable());
        });
  }

  /**
   * Returns the changes since the requested version as soon as there are any, or after the
   * requested wait time.
   */
  CompletableFuture<PeerMessage> answer(PeerMessage.ObjectsRequest request) {
    boolean fresh = clock.getAsLong() - confirmedAt <= STALE_AFTER_MILLISECONDS;
    if (!initialized || !available || interrupted || !fresh) {
      return CompletableFuture.failedFuture(unavailable());
    }
    Optional<Long> after = changeNumber(request.fromVersion());
    if (after.isEmpty()) {
      return CompletableFuture.completedFuture(
          new PeerMessage.ObjectsAnswer(
              version(), true, objects.values().stream().map(RelayedObject::state).toList()));
    }
    if (after.get() < lastChange) {
      return CompletableFuture.completedFuture(changesAfter(after.get()));
    }
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    long timer = vertx.setTimer(Math.max(1, request.waitMilliseconds()), fired -> timedOut(answer));
    pending.add(new Pending(after.get(), answer, timer));
    return answer;
  }

  private void timedOut(CompletableFuture<PeerMessage> answer) {
    for (Pending each : List.copyOf(pending)) {
      if (each.answer() == answer) {
        pending.remove(each);
        answer.complete(changesAfter(each.afterChange()));
      }
    }
  }

  private void record(String name, String version) {
    lastChange++;
    changes.remove(name); // The name moves to the end.
    changes.put(name, new Change(lastChange, version));
    if (changes.size() > MAXIMUM_CHANGES) {
      Iterator<Change> oldest = changes.values().iterator();
      forgottenChange = oldest.next().number();
      oldest.remove();
    }
    if (!batching && !pending.isEmpty()) {
      batching = true;
      vertx.setTimer(BATCH_MILLISECONDS, fired -> answerPending());
    }
  }

  private void answerPending() {
    batching = false;
    List<Pending> answered = List.copyOf(pending);
    pending.clear();
    for (Pending each : answered) {
      vertx.cancelTimer(each.timer());
      each.answer().complete(changesAfter(each.afterChange()));
    }
  }

  private PeerMessage.ObjectsAnswer changesAfter(long number) {
    List<PeerMessage.ObjectState> newer = new ArrayList<>();
    changes.forEach(
        (name, change) -> {
          if (change.number() > number) {
            newer.add(stateOf(name, change));
          }
        });
    return new PeerMessage.ObjectsAnswer(version(), false, newer);
  }

  private PeerMessage.ObjectState stateOf(String name, Change change) {
    RelayedObject object = objects.get(name);
    return object == null
        ? new PeerMessage.ObjectState(name, change.version(), Optional.empty())
        : object.state();
  }

  private String version() {
    return new StoreVersion(era, processId + ':' + lastChange).toString();
  }

  /** Returns the change number of a version; empty if later changes are no longer retained. */
  private Optional<Long> changeNumber(String fromVersion) {
    String version = StoreVersion.parse(fromVersion).revision();
    String prefix = processId + ':';
    if (!version.startsWith(prefix)) {
      return Optional.empty();
    }
    try {
      long number = Long.parseLong(version.substring(prefix.length()));
      boolean retained = number >= forgottenChange && number <= lastChange;
      return retained ? Optional.of(number) : Optional.empty();
    } catch (NumberFormatException exception) {
      return Optional.empty(); // Version of another process; the requester gets all objects.
    }
  }

  private static AgatefieldException unavailable() {
    return new AgatefieldException(
        ErrorKind.INTERNAL, "the objects of this instance are unknown or stale");
  }
}
