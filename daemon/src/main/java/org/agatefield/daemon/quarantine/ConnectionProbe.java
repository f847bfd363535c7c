package org.agatefield.daemon.quarantine;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.net.NetClient;
import java.net.ConnectException;
import org.agatefield.model.Address;

/**
 * Tests whether a process listens on an address by opening a connection. Safe for use by any
 * thread.
 */
public final class ConnectionProbe {
  private final NetClient client;

  /** The result of a probe. */
  enum Result {
    /** A process listens. */
    LISTENING,
    /** The connection was refused, so no process listens. */
    REFUSED,
    /** There was no answer in time. */
    UNKNOWN
  }

  /** Creates a probe that uses the connect timeout of {@code client}. */
  public ConnectionProbe(NetClient client) {
    this.client = client;
  }

  /** Probes an address; the future never fails. */
  Future<Result> probe(Address address) {
    return client
        .connect(address.port(), address.host())
        .compose(socket -> socket.close().map(Result.LISTENING).otherwise(Result.LISTENING))
        .otherwise(ConnectionProbe::resultOf);
  }

  private static Result resultOf(Throwable failure) {
    boolean refused =
        failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    return refused ? Result.REFUSED : Result.UNKNOWN;
  }
}
