package org.agatefield.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class CircuitBreakingStoreTest {
  private static final ObjectKey KEY = new ObjectKey(ObjectKind.CLAIM, "key");

  private final ScriptedStore store = new ScriptedStore();

  private void call(CircuitBreakingStore breaking, int times) {
    for (int call = 0; call < times; call++) {
      breaking.get(KEY);
    }
  }

  private void respondAlways(Object answer) {
    for (int call = 0; call < 1_000; call++) {
      store.then(answer);
    }
  }

  @Test
  void unavailableStoreIsNotCalledDuringPause() {
    respondAlways(StoreFailure.UNAVAILABLE);
    call(new CircuitBreakingStore(store, Duration.ofHours(1)), 500);
    assertEquals(8, store.calls);
  }

  @Test
  void respondingStoreIsAlwaysCalled() {
    respondAlways(StoreFailure.NOT_FOUND);
    call(new CircuitBreakingStore(store, Duration.ofHours(1)), 500);
    assertEquals(500, store.calls);
  }

  @Test
  void successAfterPauseClosesBreaker() {
    for (int call = 0; call < 8; call++) {
      store.then(StoreFailure.UNKNOWN_RESULT);
    }
    respondAlways(StoreFailure.NOT_FOUND);
    CircuitBreakingStore breaking = new CircuitBreakingStore(store, Duration.ofNanos(2));
    while (store.calls < 500) {
      breaking.get(KEY);
    }
    call(breaking, 100);
    assertEquals(600, store.calls);
  }
}
