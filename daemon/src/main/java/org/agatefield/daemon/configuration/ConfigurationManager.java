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
 * Keeps the accepted configuration in force at this instance, and has documents accepted.
 *
 * <p>One object in the store decides which document is accepted; a document is learnt by a watch of
 * that object, from peers and by a slow poll, and a higher generation alone is adopted. Safe for
 * use by any thread.
 */
public final class ConfigurationManager
    implements ConfigurationSource, ConfigurationSink, AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(ConfigurationManager.class);

  private static final long RETRY_DELAY_MILLISECONDS = 250;
  private static final Executor RETRIES =
      CompletableFuture.delayedExecutor(RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);

  private final ObjectStore store;
  private final ActiveConfiguration inForce;
  private final ConfigurationHistory history;
  private final ObjectInformer informer;
  private final FailPointHook hook;

  /**
   * Creates a keeper; {@link #start()} starts it.
   *
   * @param pollInterval how often the store is read although its watch is quiet
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
    this.inForce = new ActiveConfiguration(monitor);
    this.history = new ConfigurationHistory(store);
    this.informer = new ObjectInformer(vertx, store, ObjectKind.CONFIGURATION, pollInterval);
    informer.listen(new CurrentListener());
    Gauge<Long> generation = () -> inForce.current().generation();
    metrics.registerGauge("agatefield.configuration.generation", generation);
  }

  /** Starts to learn from the store. */
  public ConfigurationManager start() {
    informer.start();
    return this;
  }

  @Override
  public ConfigurationDocument current() {
    return inForce.current();
  }

  @Override
  public void subscribe(Consumer<ConfigurationDocument> listener) {
    inForce.subscribe(listener);
  }

  @Override
  public void offer(ConfigurationDocument document) {
    inForce.offer(document);
  }

  /**
   * Has a document accepted in place of the generation that it names.
   *
   * <p>The future gives the accepted document, with the next generation, or fails with an {@link
   * org.agatefield.model.AgatefieldException}: {@link ConfigurationConflictException}, {@link
   * ConfigurationRefusedException}, or store unavailable with run state {@code UNKNOWN} if the
   * document may be accepted yet.
   *
   * @param document read by {@link org.agatefield.configuration.ConfigurationReader}
   */
  public CompletableFuture<ConfigurationDocument> apply(ConfigurationDocument document) {
    return new ConfigurationUpdate(store, history, document, RETRIES)
        .run()
        .thenApply(this::accepted);
  }

  private ConfigurationDocument accepted(ConfigurationDocument document) {
    String subject = Long.toString(document.generation());
    LOGGER.info("configuration accepted generation={}", subject);
    hook.reached(FailPoint.AFTER_CONFIGURATION_ACCEPTED, subject);
    inForce.offer(document);
    history.trim(document.generation());
    return document;
  }

  /** Returns the generations that the history holds, lowest first, without the current one. */
  public CompletableFuture<List<Long>> historyGenerations() {
    return history.generations();
  }

  /** Returns an accepted document; fails with not found if the history does not hold it. */
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

  /** Adopts what the store holds. */
  private final class CurrentListener implements InformerListener {
    @Override
    public void changed(StoredObject object) {
      if (!object.key().equals(ConfigurationUpdate.CURRENT)) {
        return;
      }
      try {
        inForce.offer(ConfigurationCodec.decode(object));
      } catch (IllegalStateException exception) {
        LOGGER.error(
            "configuration in the store cannot be read; the earlier stays in force", exception);
      }
    }
  }
}
