package org.agatefield.daemon.core;

import org.agatefield.model.ConfigurationDocument;

/** Takes accepted documents that were learnt from elsewhere. Safe for use by any thread. */
public interface ConfigurationSink {
  /** Adopts an accepted document if its generation is above the one in force. */
  void offer(ConfigurationDocument document);
}
