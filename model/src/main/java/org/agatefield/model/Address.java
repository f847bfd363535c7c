package org.agatefield.model;

/**
 * A TCP address. Immutable.
 *
 * @param host an IP address, never a host name
 * @param port from 1 to 65535
 */
public record Address(String host, int port) {
  private static final int MAXIMUM_PORT = 65_535;

  /** Validates the port. */
  public Address {
    if (port < 1 || port > MAXIMUM_PORT) {
      throw new IllegalArgumentException("port: " + port + " is not between 1 and 65535");
    }
  }

  /** Parses an address of the form {@code host:port}. */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("address: '" + text + "' is not of the form IP:port");
    }
    try {
      return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    } catch (NumberFormatException exception) {
      throw new IllegalArgumentException(
          "address: the port of '" + text + "' is not a number", exception);
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
