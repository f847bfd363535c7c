package org.agatefield.daemon;

import org.agatefield.model.Address;

/** Thrown when a listener cannot be opened. Immutable. */
final class ListenException extends Exception {
  private static final long serialVersionUID = 1L;

  ListenException(Address address, Throwable cause) {
    super("cannot listen on " + address + ": " + cause.getMessage(), cause);
  }
}
