package org.agatefield.daemon.dispatch;

import static org.agatefield.daemon.dispatch.DispatchFixture.HOME;
import static org.agatefield.daemon.dispatch.DispatchFixture.VERSION;
import static org.agatefield.daemon.dispatch.DispatchFixture.report;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.agatefield.engine.EngineAnswerListener;
import org.agatefield.engine.EngineCall;
import org.agatefield.engine.EngineClient;
import org.agatefield.engine.EngineOrder;
import org.agatefield.engine.EngineRequest;
import org.agatefield.engine.OrderResult;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Upstream;
import org.junit.jupiter.api.Test;

class BoundedAdapterLoaderTest {
  private static final class RecordingEngineClient implements EngineClient {
    private final List<CompletableFuture<OrderResult>> orders = new ArrayList<>();

    @Override
    public CompletableFuture<LoadReport> loadReport(Address engine) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<OrderResult> order(Address engine, EngineOrder order) {
      CompletableFuture<OrderResult> result = new CompletableFuture<>();
      orders.add(result);
      return result;
    }

    @Override
    public EngineCall generate(
        Address engine, EngineRequest request, EngineAnswerListener listener) {
      throw new UnsupportedOperationException();
    }
  }

  private final RecordingEngineClient engines = new RecordingEngineClient();

  private BoundedAdapterLoader loader(DispatchFixture fixture) {
    return new BoundedAdapterLoader(engines, fixture, fixture, fixture, fixture.registry);
  }

  @Test
  void concurrentLoadsOfOneAdapterOnOneRunnerShareOneOrder() {
    try (DispatchFixture fixture = new DispatchFixture(HOME)) {
      BoundedAdapterLoader loader = loader(fixture);
      Upstream runner = fixture.document.upstreams().get(0);
      CompletableFuture<Void> first = loader.ensureLoaded(runner, VERSION, "tone");
      final CompletableFuture<Void> second = loader.ensureLoaded(runner, VERSION, "tone");
      assertEquals(1, engines.orders.size());
      engines.orders.get(0).complete(OrderResult.DONE);
      first.join();
      second.join();
      assertTrue(loader.ensureLoaded(runner, VERSION, "tone").isDone());
      assertEquals(1, engines.orders.size());
    }
  }

  @Test
  void loadsInFlightAreLimitedToTheInstancesShare() {
    try (DispatchFixture fixture = new DispatchFixture(HOME, HOME, HOME)) {
      BoundedAdapterLoader loader = loader(fixture);
      List<Upstream> runners = fixture.document.upstreams();
      for (int number = 0; number < 3; number++) {
        loader.ensureLoaded(runners.get(number), VERSION, "tone");
      }
      assertEquals(2, engines.orders.size());
      engines.orders.get(0).complete(OrderResult.DONE);
      assertEquals(3, engines.orders.size());
    }
  }

  @Test
  void adapterIsLoadedAgainAfterEngineRestart() {
    try (DispatchFixture fixture = new DispatchFixture(HOME)) {
      BoundedAdapterLoader loader = loader(fixture);
      Upstream runner = fixture.document.upstreams().get(0);
      fixture.reports.put("runner0", report("first", 0, 0));
      loader.ensureLoaded(runner, VERSION, "tone");
      engines.orders.get(0).complete(OrderResult.DONE);
      fixture.reports.put("runner0", report("second", 0, 0));
      assertFalse(loader.ensureLoaded(runner, VERSION, "tone").isDone());
      assertEquals(2, engines.orders.size());
    }
  }

  @Test
  void refusedLoadFailsWithNoUpstream() {
    try (DispatchFixture fixture = new DispatchFixture(HOME)) {
      Upstream runner = fixture.document.upstreams().get(0);
      CompletableFuture<Void> result = loader(fixture).ensureLoaded(runner, VERSION, "tone");
      engines.orders.get(0).complete(OrderResult.REFUSED_NO_MEMORY);
      AgatefieldException failure =
          AgatefieldException.from(assertThrows(CompletionException.class, result::join));
      assertEquals(ErrorKind.NO_UPSTREAM, failure.kind());
    }
  }
}
