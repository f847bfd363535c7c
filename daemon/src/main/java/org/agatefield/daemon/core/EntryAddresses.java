package org.agatefield.daemon.core;

import java.time.Duration;
import java.util.List;
import org.agatefield.model.Address;

/**
 * The addresses of the entry instances that a caller should use. Immutable.
 *
 * @param addresses at least one address, preferred first
 * @param timeToLive how long the caller may cache the addresses
 */
public record EntryAddresses(List<Address> addresses, Duration timeToLive) {
  /** Copies the list. */
  public EntryAddresses {
    addresses = List.copyOf(addresses);
  }
}
