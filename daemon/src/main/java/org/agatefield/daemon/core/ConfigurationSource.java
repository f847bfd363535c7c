package org.agatefield.daemon.core;

import java.util.function.Consumer;
import org.agatefield.model.ConfigurationDocument;

/**
 * The configuration that this instance has in force. Safe for use by any thread.
 *
 * <p>Invariant: the generation of {@link #current()} never falls.
 */
public interface ConfigurationSource {
  /** Returns the document in force; the empty one before any was learnt. */
  ConfigurationDocument current();

  /** Calls {@code listener} with the document in force now and with each later one, in order. */
  void subscribe(Consumer<ConfigurationDocument> listener);
}
