package org.agatefield.daemon.core;

import java.util.function.Consumer;
import org.agatefield.model.ConfigurationDocument;

/**
 * Provides the active configuration of this instance. Thread-safe.
 *
 * <p>Invariant: the generation of {@link #current()} never decreases.
 */
public interface ConfigurationSource {
  /** Returns the active document; an empty one before the first document was received. */
  ConfigurationDocument current();

  /** Calls {@code listener} with the active document and with each later one, in order. */
  void subscribe(Consumer<ConfigurationDocument> listener);
}
