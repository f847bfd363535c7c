package org.agatefield.daemon;

import org.agatefield.model.Address;

/** A listener could not be opened. Immutable. */
final class ListenException extends Exception {
  private static final long serialVersionUID = 1L;

  ListenException(Address address, Throwable cause) {
    super("cannot listen on " + address + ": " + cause.getMessage(), cause);
  }
}
