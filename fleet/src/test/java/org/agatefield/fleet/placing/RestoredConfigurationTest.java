package org.agatefield.fleet.placing;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.agatefield.daemon.configuration.ConfigurationConflictException;
import org.agatefield.daemon.configuration.ConfigurationManager;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.Closer;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.WeightStoreLimits;
import org.agatefield.standin.store.ObjectTable;
import org.agatefield.standin.store.StoreServer;
import org.agatefield.store.HttpObjectStore;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.ResolvingObjectStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that an accepted configuration stays in force although the store comes back older. */
class RestoredConfigurationTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final Duration POLL = Duration.ofMillis(200);
  private static final long FIRST_OF_SECOND_ERA = 1_000_000_001;
  private static final long FIRST_OF_THIRD_ERA = 2_000_000_001;

  private final Closer closer = new Closer();
  private final Vertx vertx = Vertx.vertx();
  private final ObjectTable table = new ObjectTable();
  private final Address address = serve(table);

  @AfterEach
  void close() {
    closer.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private Address serve(ObjectTable served) {
    int port =
        new StoreServer(vertx, served)
            .listen(0)
            .toCompletionStage()
            .toCompletableFuture()
            .join()
            .actualPort();
    return new Address("127.0.0.1", port);
  }

  private ConfigurationManager instance() {
    return instance(address);
  }

  private ConfigurationManager instance(Address store) {
    return instance(store, client -> client);
  }

  private ConfigurationManager instance(Address store, UnaryOperator<ObjectStore> wrapper) {
    HttpObjectStore client =
        closer.register(new HttpObjectStore(vertx, store, Duration.ofSeconds(3)));
    ConfigurationManager manager =
        closer.register(
            new ConfigurationManager(
                vertx,
                wrapper.apply(new ResolvingObjectStore(client)),
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

  /**
   * Comes back from a copy, over which an instance that knew nothing else has already had a
   * document accepted, before any other instance sees the new era.
   */
  private void restoreAndAccept(ObjectTable.Copy copy, ConfigurationDocument document) {
    ObjectTable elsewhere = new ObjectTable();
    while (elsewhere.era() <= table.era()) {
      elsewhere.restore(copy);
    }
    instance(serve(elsewhere)).apply(document).join();
    table.restore(elsewhere.copy());
    assertEquals(elsewhere.era(), table.era());
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
    ConfigurationDocument accepted = instance().apply(document(0, 20)).join();
    assertEquals(document(FIRST_OF_SECOND_ERA, 20), accepted);
    before.historyLost(2);
    Thread.sleep(3 * POLL.toMillis());
    assertEquals(accepted, instanceThatHas(FIRST_OF_SECOND_ERA).current());
  }

  @Test
  void instancesFollowDocumentThatWasAcceptedAfterTheStoreCameBack() {
    final ObjectTable.Copy none = table.copy();
    ConfigurationManager before = instance();
    before.apply(document(0, 10)).join();
    before.apply(document(1, 11)).join();
    restoreAndAccept(none, document(0, 20));
    await().atMost(TIMEOUT).until(() -> before.current().equals(document(FIRST_OF_SECOND_ERA, 20)));
    restoreAndAccept(none, document(0, 30));
    await().atMost(TIMEOUT).until(() -> before.current().equals(document(FIRST_OF_THIRD_ERA, 30)));
  }

  @Test
  void documentAcceptedOverAnOlderOneNeverSharesTheGenerationOfLostOne() {
    ConfigurationManager before = instance();
    before.apply(document(0, 10)).join();
    final ObjectTable.Copy old = table.copy();
    before.apply(document(1, 11)).join();
    restoreAndAccept(old, document(1, 20));
    await().atMost(TIMEOUT).until(() -> before.current().equals(document(FIRST_OF_SECOND_ERA, 20)));
    assertEquals(
        document(FIRST_OF_SECOND_ERA + 1, 21),
        before.apply(document(FIRST_OF_SECOND_ERA, 21)).join());
  }

  @Test
  void onlyOneOfTheOperatorsWhoRaceInTheNewEraIsAccepted() {
    table.restore(table.copy());
    ConfigurationManager first = instance();
    ConfigurationManager second = instance();
    List<CompletableFuture<ConfigurationDocument>> racing =
        List.of(first.apply(document(0, 20)), second.apply(document(0, 21)));
    List<Throwable> failures =
        racing.stream()
            .flatMap(each -> each.handle(RestoredConfigurationTest::failure).join())
            .toList();
    assertEquals(1, failures.size());
    assertInstanceOf(ConfigurationConflictException.class, failures.get(0));
    await().atMost(TIMEOUT).until(() -> first.current().generation() == FIRST_OF_SECOND_ERA);
    await().atMost(TIMEOUT).until(() -> first.current().equals(second.current()));
  }

  @Test
  void createThatMeetsLaterEraThanTheOneReadTakesItsGeneration() {
    final ObjectTable.Copy none = table.copy();
    ConfigurationManager late =
        instance(address, store -> runningBeforeFirstCreate(store, () -> table.restore(none)));
    ConfigurationDocument accepted = late.apply(document(0, 20)).join();
    assertEquals(document(FIRST_OF_SECOND_ERA, 20), accepted);
    assertEquals(accepted, instanceThatHas(FIRST_OF_SECOND_ERA).current());
  }

  private static ObjectStore runningBeforeFirstCreate(ObjectStore store, Runnable action) {
    AtomicBoolean created = new AtomicBoolean();
    InvocationHandler handler =
        (proxy, method, arguments) -> {
          if (method.getName().equals("create") && !created.getAndSet(true)) {
            action.run();
          }
          return method.invoke(store, arguments);
        };
    return (ObjectStore)
        Proxy.newProxyInstance(
            ObjectStore.class.getClassLoader(), new Class<?>[] {ObjectStore.class}, handler);
  }

  private static Stream<Throwable> failure(ConfigurationDocument accepted, Throwable failure) {
    return Stream.ofNullable(failure).map(AgatefieldException::from);
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
