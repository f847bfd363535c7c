package org.agatefield.daemon.connections;

import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.spi.transport.Transport;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Accepts connections up to a bound over all listeners and closes further ones at once.
 *
 * <p>Vert.x accepts on a thread of its own. A crowd that connects faster than the event loop gives
 * up connections would use up the descriptors before {@link HeldConnections} sees it. Invariant: no
 * more than the bound of accepted connections are open. Safe for use by any thread.
 */
public final class BoundedAcceptance implements io.vertx.core.transport.Transport {
  // Leaves room for callers that arrive while the event loop makes room by its own bound.
  private static final int ALLOWANCE_DIVISOR = 8;

  private final int maximum;
  private final AtomicInteger open = new AtomicInteger();

  /** Creates a transport for the connections that a process may hold. */
  public BoundedAcceptance(ConnectionBounds bounds) {
    this.maximum = bounds.connections() + bounds.connections() / ALLOWANCE_DIVISOR;
  }

  @Override
  public String name() {
    return "bounded-acceptance";
  }

  @Override
  public boolean available() {
    return true;
  }

  @Override
  public Throwable unavailabilityCause() {
    return null; // The interface says so of a transport that is available.
  }

  @Override
  public Transport implementation() {
    return new CountingTransport();
  }

  private final class CountingTransport extends NioTransport {
    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
      return domainSocket ? super.serverChannelFactory(true) : CountingServerChannel::new;
    }
  }

  /** Accepts connections on one listener. */
  private final class CountingServerChannel extends NioServerSocketChannel {
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      SocketChannel connection = javaChannel().accept();
      if (connection == null) {
        return 0;
      }
      if (open.incrementAndGet() > maximum) {
        open.decrementAndGet();
        connection.close();
        return 0;
      }
      accepted.add(new CountedChannel(this, connection));
      return 1;
    }
  }

  /** An accepted connection, counted until it is closed. */
  private final class CountedChannel extends NioSocketChannel {
    private boolean counted = true;

    CountedChannel(CountingServerChannel listener, SocketChannel connection) {
      super(listener, connection);
    }

    @Override
    protected void doClose() throws Exception {
      if (counted) {
        counted = false;
        open.decrementAndGet();
      }
      super.doClose();
    }
  }
}
