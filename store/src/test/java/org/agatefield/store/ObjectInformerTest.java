package org.agatefield.store;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.NullNode;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ObjectInformerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  // The pause before the call of a watch, and the limit of the call.
  private static final Duration SILENT_WATCH = Duration.ofMillis(500 + 1_700);
  private static final ObjectKey KEY = new ObjectKey(ObjectKind.RUNNER, "a");
  private static final StoredObject OBJECT =
      new StoredObject(KEY, "1", List.of(), NullNode.getInstance());

  private final Vertx vertx = Vertx.vertx();
  private final List<WatchListener> watches = new CopyOnWriteArrayList<>();
  private final List<String> notifications = new CopyOnWriteArrayList<>();
  private final AtomicLong now = new AtomicLong();
  private volatile boolean watchesEndAtOnce;
  private final ObjectInformer informer =
      new ObjectInformer(
          vertx,
          new OneObjectSource(),
          ObjectKind.RUNNER,
          Duration.ofMinutes(10),
          Duration.ofMillis(200),
          now::get);

  /** Lists one object and keeps the listeners of its watches. */
  private final class OneObjectSource implements ObjectSource {
    @Override
    public CompletableFuture<ObjectList> list(ObjectKind kind) {
      return CompletableFuture.completedFuture(new ObjectList("1", List.of(OBJECT)));
    }

    @Override
    public AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener) {
      watches.add(listener);
      if (watchesEndAtOnce) {
        listener.ended(new StoreException(StoreFailure.VERSION_GONE, "the source is gone"));
      }
      return () -> {};
    }
  }

  /** Records what it is told of the availability and of deletions. */
  private final class RecordingListener implements InformerListener {
    @Override
    public void availabilityChanged(boolean available) {
      notifications.add(available ? "available" : "unavailable");
    }

    @Override
    public void deleted(ObjectKey key) {
      notifications.add("deleted");
    }
  }

  @BeforeEach
  void startInformer() {
    informer.listen(new RecordingListener()).start();
    awaitWatch(1);
  }

  @AfterEach
  void close() {
    informer.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void awaitWatch(int number) {
    await().atMost(TIMEOUT).until(() -> watches.size() == number);
  }

  private void endWatch(int number, Duration contactAge) {
    now.addAndGet(contactAge.toNanos());
    watches.get(number - 1).ended(new StoreException(StoreFailure.UNAVAILABLE, "silent"));
    awaitWatch(number + 1);
  }

  /** Guards against a removal that is applied late as one watch was silent (review/5). */
  @Test
  void deletionAfterOneSilentWatchIsNoSignOfAnOutage() {
    endWatch(1, SILENT_WATCH);
    watches.get(1).deleted(KEY, "2");
    watches.get(1).reached("2");
    assertEquals(List.of("deleted"), notifications);
  }

  @Test
  void twoWatchesThatFailInSuccessionAreAnOutage() {
    endWatch(1, Duration.ofMillis(100));
    endWatch(2, Duration.ofMillis(100));
    watches.get(2).deleted(KEY, "2");
    watches.get(2).reached("2");
    assertEquals(List.of("unavailable", "deleted", "available"), notifications);
  }

  /** Guards against runners that expired in an outage behind which a call was just silent. */
  @Test
  void deletionAfterLongSilenceIsReportedWithinAnOutage() {
    endWatch(1, SILENT_WATCH);
    now.addAndGet(Duration.ofMillis(300).toNanos());
    watches.get(1).deleted(KEY, "2");
    watches.get(1).reached("2");
    assertEquals(List.of("unavailable", "deleted", "available"), notifications);
  }

  @Test
  void watchThatAnswersAgainEndsTheSuspicion() {
    endWatch(1, Duration.ofMillis(100));
    watches.get(1).reached("2");
    endWatch(2, Duration.ofMillis(100));
    watches.get(2).reached("3");
    assertEquals(List.of(), notifications);
  }

  /** Guards against an instance that hears of nothing for a minute as its relay was gone. */
  @Test
  void watchThatEndsBeforeItIsStartedIsFollowedByAnotherListSoon() {
    watchesEndAtOnce = true;
    watches.get(0).ended(new StoreException(StoreFailure.VERSION_GONE, "history is gone"));
    await().atMost(TIMEOUT).until(() -> watches.size() >= 4);
  }
}
