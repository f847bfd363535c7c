package org.agatefield.daemon.core;

import org.agatefield.model.ConfigurationDocument;

/** Receives accepted documents from the store and from peers. Thread-safe. */
public interface ConfigurationSink {
  /** Activates an accepted document if its generation is higher than that of the active one. */
  void offer(ConfigurationDocument document);
}
