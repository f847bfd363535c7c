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
 * The document that this instance has in force.
 *
 * <p>Invariant: the generation rises with each adoption; two documents of one generation are equal.
 * Safe for use by any thread: state is guarded by the object's lock, and listeners are called under
 * it so that they hear every document in order; they must not block.
 */
public final class ActiveConfiguration implements ConfigurationSource, ConfigurationSink {
  private static final Logger LOGGER = LogManager.getLogger(ActiveConfiguration.class);

  private final InvariantMonitor monitor;
  private final List<Consumer<ConfigurationDocument>> listeners = new ArrayList<>();
  private volatile ConfigurationDocument current = ConfigurationDocument.empty();

  /** Creates a holder of the empty document. */
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
    long earlier = current.generation();
    current = document;
    LOGGER.info("configuration adopted generation={} earlier={}", document.generation(), earlier);
    listeners.forEach(listener -> listener.accept(document));
  }

  private void checkSameDocument(ConfigurationDocument document) {
    ConfigurationDocument mine = current;
    boolean consistent = document.generation() < mine.generation() || document.equals(mine);
    monitor.check(
        Invariant.CONFIGURATION,
        consistent,
        () -> "two documents of generation " + mine.generation() + ": " + mine + ", " + document);
  }
}
