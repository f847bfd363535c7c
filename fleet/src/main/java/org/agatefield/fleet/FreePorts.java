package org.agatefield.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.agatefield.model.Address;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Allocates free ports on the loopback address, below the ephemeral range of outgoing connections.
 *
 * <p>Invariant: no port is allocated twice. Not thread-safe.
 */
final class FreePorts {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int FIRST_PORT = 15_000;
  private static final int LAST_PORT = 32_000;

  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
  private final Set<Integer> allocated = new HashSet<>();

  Address next() {
    while (true) {
      int port = random.nextInt(FIRST_PORT, LAST_PORT);
      if (!allocated.contains(port) && isFree(port)) {
        allocated.add(port);
        return new Address(LOOPBACK, port);
      }
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), port));
      return true;
    } catch (IOException exception) {
      return false;
    }
  }
}
