package org.agatefield.daemon.configuration;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agatefield.configuration.ConfigurationDifference;
import org.agatefield.daemon.core.ConfigurationSink;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.FailPoint;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.store.InformerListener;
import org.agatefield.store.ObjectInformer;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Activates the accepted configuration at this instance and submits new documents for acceptance.
 *
 * <p>A single object in the store determines the accepted document. Documents are received by a
 * watch of that object, from peers and by a slow poll; a document is adopted only if its generation
 * is higher. Thread-safe.
 */
public final class ConfigurationManager
    implements ConfigurationSource, ConfigurationSink, AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(ConfigurationManager.class);

  private static final long RETRY_DELAY_MILLISECONDS = 250;
  private static final Executor RETRIES =
      CompletableFuture.delayedExecutor(RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);

  private final ObjectStore store;
  private final ActiveConfiguration active;
  private final ConfigurationHistory history;
  private final ConfirmedDocuments confirmed;
  private final ObjectInformer informer;
  private final FailPointHook hook;

  /**
   * Creates a manager, which is inactive until {@link #start()} is called.
   *
   * @param pollInterval interval at which the store is read even if the watch reports no changes
   */
  public ConfigurationManager(
      Vertx vertx,
      ObjectStore store,
      Duration pollInterval,
      MetricRegistry metrics,
      InvariantMonitor monitor,
      FailPointHook hook) {
    this.store = store;
    this.hook = hook;
    this.active = new ActiveConfiguration(monitor);
    this.history = new ConfigurationHistory(store);
    this.informer = new ObjectInformer(vertx, store, ObjectKind.CONFIGURATION, pollInterval);
    this.confirmed = new ConfirmedDocuments(store, history, RETRIES);
    active.subscribe(confirmed::remember);
    informer.listen(new CurrentListener());
    Gauge<Long> generation = () -> active.current().generation();
    metrics.registerGauge("agatefield.configuration.generation", generation);
  }

  /** Starts to receive documents from the store. */
  public ConfigurationManager start() {
    informer.start();
    return this;
  }

  @Override
  public ConfigurationDocument current() {
    return active.current();
  }

  @Override
  public void subscribe(Consumer<ConfigurationDocument> listener) {
    active.subscribe(listener);
  }

  @Override
  public void offer(ConfigurationDocument document) {
    active.offer(document);
  }

  /**
   * Submits a document as the successor of the generation that it names.
   *
   * <p>The future returns the accepted document with the next generation (after the store came back
   * older, the first of its era), or fails with an {@link
   * org.agatefield.model.AgatefieldException}: {@link ConfigurationConflictException}, {@link
   * ConfigurationRefusedException}, or store unavailable, with run state {@code UNKNOWN} if the
   * document may still be accepted.
   *
   * @param document a document parsed by {@link org.agatefield.configuration.ConfigurationReader}
   */
  public CompletableFuture<ConfigurationDocument> apply(ConfigurationDocument document) {
    ConfigurationDocument known = active.current();
    if (document.generation() < known.generation()) {
      return CompletableFuture.failedFuture(
          new ConfigurationConflictException(ConfigurationDifference.between(known, document)));
    }
    return new ConfigurationUpdate(store, history, document, RETRIES)
        .run()
        .thenApply(this::accepted);
  }

  /**
   * Writes the active document again if the store has lost it; call it when the store has come back
   * from an older copy.
   */
  public void historyLost(long era) {
    LOGGER.info("checking the configuration in the store era={}", era);
    confirmed.writeAgain();
  }

  private ConfigurationDocument accepted(ConfigurationDocument document) {
    String subject = Long.toString(document.generation());
    LOGGER.info("configuration accepted generation={}", subject);
    hook.reached(FailPoint.AFTER_CONFIGURATION_ACCEPTED, subject);
    active.offer(document);
    history.trim(document.generation());
    return document;
  }

  /** Returns the generations in the history in ascending order, without the current one. */
  public CompletableFuture<List<Long>> historyGenerations() {
    return history.generations();
  }

  /** Returns an accepted document; fails with not found if it is not in the history. */
  public CompletableFuture<ConfigurationDocument> historyDocument(long generation) {
    if (generation == current().generation()) {
      return CompletableFuture.completedFuture(current());
    }
    return history.get(generation);
  }

  @Override
  public void close() {
    informer.close();
  }

  /** Adopts the document stored in the store. */
  private final class CurrentListener implements InformerListener {
    @Override
    public void changed(StoredObject object) {
      if (!object.key().equals(ConfigurationUpdate.CURRENT)) {
        return;
      }
      try {
        active.offer(ConfigurationCodec.decode(object));
      } catch (IllegalStateException exception) {
        LOGGER.error(
            "configuration in the store cannot be read; the previous one stays active", exception);
      }
    }
  }
}
