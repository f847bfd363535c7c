package org.agatefield.fleet.placing;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.agatefield.daemon.configuration.ConfigurationConflictException;
import org.agatefield.daemon.configuration.ConfigurationManager;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.WeightStoreLimits;
import org.agatefield.standin.store.ObjectTable;
import org.agatefield.standin.store.StoreServer;
import org.agatefield.store.HttpObjectStore;
import org.agatefield.store.ResolvingObjectStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that an accepted configuration stays in force although the store comes back older. */
class RestoredConfigurationTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final Duration POLL = Duration.ofMillis(200);

  private final Closer closer = new Closer();
  private final Vertx vertx = Vertx.vertx();
  private final ObjectTable table = new ObjectTable();
  private final Address address =
      new Address(
          "127.0.0.1",
          new StoreServer(vertx, table)
              .listen(0)
              .toCompletionStage()
              .toCompletableFuture()
              .join()
              .actualPort());

  @AfterEach
  void close() {
    closer.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private ConfigurationManager instance() {
    HttpObjectStore client =
        closer.register(new HttpObjectStore(vertx, address, Duration.ofSeconds(3)));
    ConfigurationManager manager =
        closer.register(
            new ConfigurationManager(
                vertx,
                new ResolvingObjectStore(client),
                POLL,
                new MetricRegistry(),
                new NoMonitor(),
                FailPointHook.NONE));
    client.onHistoryLost(manager::historyLost);
    return manager.start();
  }

  private ConfigurationManager instanceThatHas(long generation) {
    ConfigurationManager started = instance();
    await().atMost(TIMEOUT).until(() -> started.current().generation() == generation);
    return started;
  }

  /** Returns a document without deployments that differs from others by a limit. */
  private static ConfigurationDocument document(long generation, int limit) {
    return new ConfigurationDocument(
        generation,
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        new WeightStoreLimits(limit, 6, 50));
  }

  @Test
  void acceptedDocumentIsWrittenAgainAndStaysInForce() {
    final ObjectTable.Copy none = table.copy();
    ConfigurationManager first = instance();
    ConfigurationManager second = instance();
    first.apply(document(0, 10)).join();
    final ObjectTable.Copy old = table.copy();
    first.apply(document(1, 11)).join();
    await().atMost(TIMEOUT).until(() -> second.current().generation() == 2);
    for (ObjectTable.Copy copy : List.of(old, none)) {
      table.restore(copy);
      assertEquals(document(2, 11), instanceThatHas(2).current());
      assertEquals(document(2, 11), second.current());
    }
  }

  @Test
  void applyOnGenerationThatCameBackIsConflictWithTheAcceptedDocument() {
    ConfigurationManager first = instance();
    first.apply(document(0, 10)).join();
    final ObjectTable.Copy old = table.copy();
    first.apply(document(1, 11)).join();
    table.restore(old);
    Throwable failure =
        assertThrows(CompletionException.class, first.apply(document(1, 12))::join).getCause();
    ConfigurationConflictException conflict =
        assertInstanceOf(ConfigurationConflictException.class, failure);
    assertEquals(2, conflict.difference().fromGeneration());
  }

  @Test
  void documentAcceptedAfterTheStoreCameBackIsNotOverwritten() throws InterruptedException {
    ConfigurationManager before = instance();
    final ObjectTable.Copy none = table.copy();
    before.apply(document(0, 10)).join();
    before.apply(document(1, 11)).join();
    before.close();
    table.restore(none);
    instance().apply(document(0, 20)).join();
    before.historyLost(2);
    Thread.sleep(3 * POLL.toMillis());
    assertEquals(document(1, 20), instanceThatHas(1).current());
  }

  @Test
  void instancesFollowDocumentThatWasAcceptedAfterTheStoreCameBack() {
    final ObjectTable.Copy none = table.copy();
    ConfigurationManager other = instance();
    other.apply(document(0, 20)).join();
    other.close();
    final JsonNode accepted = table.get("configurations", "current").body();
    table.restore(none);
    ConfigurationManager before = instance();
    before.apply(document(0, 10)).join();
    before.apply(document(1, 11)).join();
    table.restore(none);
    table.create("configurations", accepted, 1);
    await().atMost(TIMEOUT).until(() -> before.current().equals(document(1, 20)));
  }

  private static final class NoMonitor implements InvariantMonitor {
    @Override
    public void check(Invariant invariant, boolean holds, Supplier<String> evidence) {}

    @Override
    public long violations() {
      return 0;
    }
  }
}
