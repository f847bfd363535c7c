package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
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
import org.agatefield.store.StoredObject;

/**
 * Tells other instances the objects of one kind, as this instance knows them, and their changes.
 *
 * <p>Invariants: nothing is told before the objects are known, nor while they may be out of date
 * because their source does not answer or has not confirmed them lately; an asker that is too far
 * behind gets all objects. Versions are this process's own. Confined to one event loop.
 */
final class ObjectRelay implements InformerListener {
  private static final int CHANGES_KEPT = 512; // several seconds of busy runners
  // Beyond a watch's longest wait; a process that stood still has confirmed nothing meanwhile.
  private static final long FRESH_MILLISECONDS = 2_500;
  private static final long GATHER_MILLISECONDS = 20; // one answer carries changes that come close

  private final Vertx vertx;
  private final String processId;
  private final Map<String, Told> objects = new HashMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private final List<Pending> pending = new ArrayList<>();
  private long lastChange;
  private final LongSupplier clock;
  private long confirmedAt;
  private boolean known;
  private boolean available = true;
  private boolean gathering;

  private record Change(long number, Told object) {}

  /** An object as it is told to others; written once, and only if somebody asks for it. */
  private static final class Told {
    private final String name;
    private final String version;
    private final Optional<JsonNode> content;
    private PeerMessage.ObjectState state;

    Told(String name, String version, Optional<JsonNode> content) {
      this.name = name;
      this.version = version;
      this.content = content;
    }

    PeerMessage.ObjectState state() {
      if (state == null) {
        state = new PeerMessage.ObjectState(name, version, content.map(CompressedJson::compress));
      }
      return state;
    }
  }

  private record Pending(long afterChange, CompletableFuture<PeerMessage> answer, long timer) {}

  /**
   * Creates a relay.
   *
   * @param processId unique to this process
   * @param clock monotonic milliseconds
   */
  ObjectRelay(Vertx vertx, String processId, LongSupplier clock) {
    this.vertx = vertx;
    this.processId = processId;
    this.clock = clock;
  }

  @Override
  public void changed(StoredObject object) {
    Told told =
        new Told(object.key().name(), object.resourceVersion(), Optional.of(object.content()));
    objects.put(told.name, told);
    note(told);
  }

  @Override
  public void deleted(ObjectKey key) {
    Told before = objects.remove(key.name());
    String version = before == null ? "" : before.version;
    note(new Told(key.name(), version, Optional.empty()));
  }

  @Override
  public void confirmed() {
    known = true;
    confirmedAt = clock.getAsLong();
  }

  @Override
  public void availabilityChanged(boolean answers) {
    available = answers;
    if (!answers) {
      List<Pending> failed = List.copyOf(pending);
      pending.clear();
      failed.forEach(
          each -> {
            vertx.cancelTimer(each.timer());
            each.answer().completeExceptionally(unavailable());
          });
    }
  }

  /** Answers with what changed, as soon as something did, or after the time that the asker gave. */
  CompletableFuture<PeerMessage> answer(PeerMessage.ObjectsRequest request) {
    boolean fresh = clock.getAsLong() - confirmedAt <= FRESH_MILLISECONDS;
    if (!known || !available || !fresh) {
      return CompletableFuture.failedFuture(unavailable());
    }
    Optional<Long> after = changeNumber(request.fromVersion());
    if (after.isEmpty()) {
      return CompletableFuture.completedFuture(
          new PeerMessage.ObjectsAnswer(
              version(), true, objects.values().stream().map(Told::state).toList()));
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

  private void note(Told told) {
    lastChange++;
    changes.addLast(new Change(lastChange, told));
    if (changes.size() > CHANGES_KEPT) {
      changes.removeFirst();
    }
    if (!gathering && !pending.isEmpty()) {
      gathering = true;
      vertx.setTimer(GATHER_MILLISECONDS, fired -> answerPending());
    }
  }

  private void answerPending() {
    gathering = false;
    List<Pending> answered = List.copyOf(pending);
    pending.clear();
    for (Pending each : answered) {
      vertx.cancelTimer(each.timer());
      each.answer().complete(changesAfter(each.afterChange()));
    }
  }

  private PeerMessage.ObjectsAnswer changesAfter(long number) {
    List<PeerMessage.ObjectState> newer = new ArrayList<>();
    for (Change change : changes) {
      if (change.number() > number) {
        newer.add(change.object().state());
      }
    }
    return new PeerMessage.ObjectsAnswer(version(), false, newer);
  }

  private String version() {
    return processId + ':' + lastChange;
  }

  /** Returns the change that a version stands for; empty if the changes since are not kept. */
  private Optional<Long> changeNumber(String version) {
    String prefix = processId + ':';
    if (!version.startsWith(prefix)) {
      return Optional.empty();
    }
    try {
      long number = Long.parseLong(version.substring(prefix.length()));
      long oldest = changes.isEmpty() ? lastChange : changes.getFirst().number() - 1;
      return number >= oldest && number <= lastChange ? Optional.of(number) : Optional.empty();
    } catch (NumberFormatException exception) {
      return Optional.empty(); // another process's version; the asker gets all objects
    }
  }

  private static AgatefieldException unavailable() {
    return new AgatefieldException(ErrorKind.INTERNAL, "the store does not answer here either");
  }
}
