package org.agatefield.store;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Tracks the era of a store, which rises each time the store comes back from an older copy.
 *
 * <p>Invariant: the era never decreases. Safe for use by any thread; listeners are called by the
 * thread that received the response, without a lock.
 */
final class StoreEra {
  private static final Logger LOGGER = LogManager.getLogger(StoreEra.class);

  private final List<LongConsumer> listeners = new CopyOnWriteArrayList<>();
  private long current = StoreVersion.NO_ERA;

  /** Adds a listener for eras that begin after the first response of the store. */
  void listen(LongConsumer listener) {
    listeners.add(listener);
  }

  synchronized long current() {
    return current;
  }

  /**
   * Records the era of a response; empty if the response names none.
   *
   * @return the era of the response; a response without one belongs to the current era
   */
  long observe(OptionalLong named) {
    long before;
    synchronized (this) {
      before = current;
      if (named.isEmpty() || named.getAsLong() <= current) {
        return named.orElse(current);
      }
      current = named.getAsLong();
    }
    LOGGER.info("dependency=store era={} before={}", named.getAsLong(), before);
    if (before != StoreVersion.NO_ERA) {
      listeners.forEach(listener -> listener.accept(named.getAsLong()));
    }
    return named.getAsLong();
  }
}
