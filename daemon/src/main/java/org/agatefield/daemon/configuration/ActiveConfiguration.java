package org.agatefield.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.agatefield.daemon.core.ConfigurationSink;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.InvariantMonitor.Invariant;
import org.agatefield.model.ConfigurationDocument;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Holds the active document of this instance.
 *
 * <p>Invariant: the generation increases with each adopted document; two documents of the same
 * generation are equal. Thread-safe: state is guarded by the object's lock. Listeners are called
 * under the lock so that they receive every document in order; they must not block.
 */
public final class ActiveConfiguration implements ConfigurationSource, ConfigurationSink {
  private static final Logger LOGGER = LogManager.getLogger(ActiveConfiguration.class);

  private final InvariantMonitor monitor;
  private final List<Consumer<ConfigurationDocument>> listeners = new ArrayList<>();
  private volatile ConfigurationDocument current = ConfigurationDocument.empty();

  /** Creates an active configuration with the empty document. */
  public ActiveConfiguration(InvariantMonitor monitor) {
    this.monitor = monitor;
  }

  @Override
  public ConfigurationDocument current() {
    return current;
  }

  @Override
  public synchronized void subscribe(Consumer<ConfigurationDocument> listener) {
    listeners.add(listener);
    listener.accept(current);
  }

  @Override
  public synchronized void offer(ConfigurationDocument document) {
    if (document.generation() <= current.generation()) {
      checkSameDocument(document);
      return;
    }
    long previousGeneration = current.generation();
    current = document;
    LOGGER.info(
        "configuration adopted generation={} earlier={}",
        document.generation(),
        previousGeneration);
    listeners.forEach(listener -> listener.accept(document));
  }

  private void checkSameDocument(ConfigurationDocument document) {
    ConfigurationDocument active = current;
    boolean consistent = document.generation() < active.generation() || document.equals(active);
    monitor.check(
        Invariant.CONFIGURATION,
        consistent,
        () ->
            "different documents of generation "
                + active.generation()
                + ": "
                + active
                + ", "
                + document);
  }
}
