package org.agatefield.daemon.core;

import java.util.Optional;

/** Resolves the entry instances that a caller should use. Thread-safe. */
public interface EntryDirectory {
  /**
   * Returns the addresses to use, preferred first; never empty.
   *
   * @param model the deployment or adapter that the caller is going to request
   * @param region the caller's region
   */
  EntryAddresses entriesFor(Optional<String> model, Optional<String> region);
}
