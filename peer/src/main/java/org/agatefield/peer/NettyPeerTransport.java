package org.agatefield.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.peer.generated.PeerProtocol;
import org.agatefield.peer.generated.PeerProtocol.Envelope;

/**
 * A peer transport over TCP.
 *
 * <p>A connection is opened when the first message is sent to a peer and carries messages in both
 * directions. If two peers connect to each other at the same time, both connections may exist until
 * one is closed as idle. Thread-safe.
 */
public final class NettyPeerTransport implements PeerTransport {
  private final EventLoopGroup group;
  private final PeerTransportSettings settings;
  private final Optional<PeerTls> tls;
  private final Address self;
  private final PeerTraffic traffic = new PeerTraffic();
  private final UnidentifiedConnections unidentified;
  private final Map<Address, CompletableFuture<PeerConnection>> connections =
      new ConcurrentHashMap<>();
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel server;
  private volatile PeerHandler handler = new NotReadyHandler();
  private volatile boolean closed;

  /**
   * Creates a transport and starts to listen.
   *
   * @param group runs the connections; the owner shuts it down after {@link #close()}
   * @param listener the address to listen on, which is also announced to peers
   * @throws AgatefieldException if the address cannot be bound
   */
  public NettyPeerTransport(
      EventLoopGroup group,
      Address listener,
      PeerTransportSettings settings,
      Optional<PeerTls> tls) {
    this.group = group;
    this.settings = settings;
    this.tls = tls;
    this.self = listener;
    this.unidentified = new UnidentifiedConnections(settings.unidentifiedConnections());
    this.server = bind(listener);
  }

  private Channel bind(Address listener) {
    ChannelFuture future =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
            .childHandler(PeerPipeline.incoming(this, settings, tls.map(PeerTls::server)))
            .bind(listener.host(), listener.port())
            .awaitUninterruptibly();
    if (!future.isSuccess()) {
      throw new AgatefieldException(
          ErrorKind.INTERNAL, "cannot listen for peers on " + listener, future.cause());
    }
    return future.channel();
  }

  private WriteBufferWaterMark waterMark() {
    return new WriteBufferWaterMark(settings.writeBufferBytes() / 2, settings.writeBufferBytes());
  }

  @Override
  public CompletableFuture<PeerMessage> request(Address peer, PeerMessage message) {
    return connection(peer).thenCompose(connection -> connection.request(message));
  }

  @Override
  public void send(Address peer, PeerMessage message) {
    connection(peer)
        .whenComplete(
            (connection, failure) -> {
              if (failure != null) {
                traffic.dropped();
                return;
              }
              connection.send(message);
            });
  }

  @Override
  public void listen(PeerHandler newHandler) {
    handler = newHandler;
  }

  /** Returns the counters of this transport. */
  public PeerTraffic traffic() {
    return traffic;
  }

  /** Returns the number of connections that are open or being opened. */
  public int openConnections() {
    return connections.size();
  }

  PeerHandler handler() {
    return handler;
  }

  private CompletableFuture<PeerConnection> connection(Address peer) {
    CompletableFuture<PeerConnection> existing = connections.get(peer);
    if (existing != null) {
      return existing;
    }
    CompletableFuture<PeerConnection> created = new CompletableFuture<>();
    existing = connections.putIfAbsent(peer, created);
    if (existing != null) {
      return existing;
    }
    if (closed) {
      connections.remove(peer, created);
      created.completeExceptionally(PeerConnection.failure("the transport is closed", null));
      return created;
    }
    open(peer, created);
    return created;
  }

  private void open(Address peer, CompletableFuture<PeerConnection> created) {
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeout().toMillis())
        .handler(PeerPipeline.outgoing(this, settings, tls.map(PeerTls::client), peer))
        .connect(peer.host(), peer.port())
        .addListener(future -> onConnected(peer, created, (ChannelFuture) future));
  }

  private void onConnected(
      Address peer, CompletableFuture<PeerConnection> created, ChannelFuture future) {
    if (!future.isSuccess()) {
      connections.remove(peer, created);
      created.completeExceptionally(
          PeerConnection.failure(peer + " cannot be reached", future.cause()));
      return;
    }
    traffic.connectionOpened();
    Channel channel = future.channel();
    register(channel);
    PeerConnection connection = channel.pipeline().get(PeerConnection.class);
    connection.write(hello());
    created.complete(connection);
  }

  private void register(Channel channel) {
    channels.add(channel);
    if (closed) {
      channel.close();
    }
  }

  private Envelope hello() {
    return Envelope.newBuilder()
        .setHello(PeerProtocol.Hello.newBuilder().setAddress(MembershipCodec.encodeAddress(self)))
        .build();
  }

  UnidentifiedConnections unidentified() {
    return unidentified;
  }

  /** Registers a connection that a peer opened, to send messages to that peer as well. */
  void onAccepted(Address opener, PeerConnection connection) {
    unidentified.identified(connection.channel());
    register(connection.channel());
    connections.putIfAbsent(opener, CompletableFuture.completedFuture(connection));
  }

  void onClosed(PeerConnection connection) {
    connections
        .values()
        .removeIf(
            future ->
                future.isDone()
                    && !future.isCompletedExceptionally()
                    && future.join() == connection);
  }

  @Override
  public void close() {
    closed = true;
    server.close().awaitUninterruptibly();
    channels.close().awaitUninterruptibly();
  }

  /** Drops messages and refuses requests until a handler is set. */
  private static final class NotReadyHandler implements PeerHandler {
    @Override
    public void received(PeerMessage message) {}

    @Override
    public CompletableFuture<PeerMessage> requested(PeerMessage request) {
      return CompletableFuture.failedFuture(
          new AgatefieldException(ErrorKind.INTERNAL, "the peer is not ready"));
    }
  }
}
