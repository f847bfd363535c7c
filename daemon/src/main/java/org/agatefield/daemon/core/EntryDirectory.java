package org.agatefield.daemon.core;

import java.util.Optional;

/** Answers which entry instances a caller should use. Safe for use by any thread. */
public interface EntryDirectory {
  /**
   * Returns the addresses to use, best first; never empty.
   *
   * @param model the deployment or adapter that the caller will ask for
   * @param region the region that the caller lies in
   */
  EntryAddresses entriesFor(Optional<String> model, Optional<String> region);
}
