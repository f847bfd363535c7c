package org.agatefield.daemon.core;

import java.time.Duration;
import java.util.List;
import org.agatefield.model.Address;

/**
 * Which entry instances a caller should use. Immutable.
 *
 * @param addresses best first; at least one
 * @param timeToLive how long the caller may keep the answer
 */
public record EntryAddresses(List<Address> addresses, Duration timeToLive) {
  /** Copies the list. */
  public EntryAddresses {
    addresses = List.copyOf(addresses);
  }
}
