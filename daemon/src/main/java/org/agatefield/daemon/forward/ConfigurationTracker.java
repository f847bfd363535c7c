package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.agatefield.daemon.forward.wire.StoredObjectDialect;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.store.InformerListener;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The configuration in force.
 *
 * <p>Invariant: its version only rises, wherever a version comes from. Confined to one event loop.
 */
final class ConfigurationTracker implements InformerListener {
  private static final Logger LOGGER = LogManager.getLogger(ConfigurationTracker.class);

  private final StoredObjectDialect dialect;
  private final List<Consumer<ForwardingTable>> listeners = new ArrayList<>();
  private Optional<ForwardingTable> table = Optional.empty();
  private Optional<JsonNode> content = Optional.empty();

  ConfigurationTracker(StoredObjectDialect dialect) {
    this.dialect = dialect;
  }

  void listen(Consumer<ForwardingTable> listener) {
    listeners.add(listener);
  }

  Optional<ForwardingTable> table() {
    return table;
  }

  /** Returns the configuration as it lies in the store. */
  Optional<JsonNode> content() {
    return content;
  }

  long version() {
    return table.map(ForwardingTable::version).orElse(0L);
  }

  @Override
  public void changed(StoredObject object) {
    if (object.key().name().equals(dialect.configurationName())) {
      learn(object.content(), "store");
    }
  }

  /** Takes a configuration if it is newer than the one in force. */
  void learn(JsonNode newContent, String source) {
    Optional<ForwardingTable> decoded = dialect.decodeTable(newContent);
    if (decoded.isEmpty()) {
      LOGGER.warn("configuration source={} unreadable, version={} stays", source, version());
      return;
    }
    if (table.isPresent() && decoded.get().version() <= version()) {
      return;
    }
    LOGGER.info(
        "configuration version={} before={} source={}", decoded.get().version(), version(), source);
    table = decoded;
    content = Optional.of(newContent);
    listeners.forEach(listener -> listener.accept(decoded.get()));
  }
}
