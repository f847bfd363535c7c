package org.agatefield.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.agatefield.model.Address;
import org.agatefield.peer.generated.PeerProtocol.Envelope;

/** Adds the channel handlers to a new connection. Thread-safe. */
final class PeerPipeline extends ChannelInitializer<SocketChannel> {
  private static final int LENGTH_BYTES = 4;

  private final NettyPeerTransport transport;
  private final PeerTransportSettings settings;
  private final Function<SocketChannel, Optional<SslHandler>> tls;
  private final Consumer<SocketChannel> onInitialized;

  private PeerPipeline(
      NettyPeerTransport transport,
      PeerTransportSettings settings,
      Function<SocketChannel, Optional<SslHandler>> tls,
      Consumer<SocketChannel> onInitialized) {
    this.transport = transport;
    this.settings = settings;
    this.tls = tls;
    this.onInitialized = onInitialized;
  }

  /** Returns the initializer for incoming connections. */
  static PeerPipeline incoming(
      NettyPeerTransport transport, PeerTransportSettings settings, Optional<SslContext> tls) {
    return new PeerPipeline(
        transport,
        settings,
        channel -> tls.map(context -> context.newHandler(channel.alloc())),
        transport.unidentified()::opened);
  }

  /**
   * Returns the initializer for an outgoing connection; the peer's certificate must match its
   * address.
   */
  static PeerPipeline outgoing(
      NettyPeerTransport transport,
      PeerTransportSettings settings,
      Optional<SslContext> tls,
      Address peer) {
    return new PeerPipeline(
        transport,
        settings,
        channel ->
            tls.map(context -> context.newHandler(channel.alloc(), peer.host(), peer.port())),
        channel -> {});
  }

  @Override
  protected void initChannel(SocketChannel channel) {
    ChannelPipeline pipeline = channel.pipeline();
    tls.apply(channel).ifPresent(pipeline::addLast);
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(settings.frameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    pipeline.addLast(new Decoder(transport.traffic()));
    pipeline.addLast(new Encoder(transport.traffic()));
    pipeline.addLast(
        new IdleStateHandler(0, 0, settings.idleTimeout().toMillis(), TimeUnit.MILLISECONDS));
    pipeline.addLast(new PeerConnection(transport, settings));
    onInitialized.accept(channel);
  }

  private static final class Decoder extends MessageToMessageDecoder<ByteBuf> {
    private final PeerTraffic traffic;

    private Decoder(PeerTraffic traffic) {
      this.traffic = traffic;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
        throws IOException {
      traffic.received(frame.readableBytes() + LENGTH_BYTES);
      out.add(Envelope.parseFrom(frame.nioBuffer()));
    }
  }

  private static final class Encoder extends MessageToByteEncoder<Envelope> {
    private final PeerTraffic traffic;

    private Encoder(PeerTraffic traffic) {
      this.traffic = traffic;
    }

    @Override
    protected ByteBuf allocateBuffer(
        ChannelHandlerContext context, Envelope envelope, boolean preferDirect) {
      int size = LENGTH_BYTES + envelope.getSerializedSize();
      return preferDirect ? context.alloc().ioBuffer(size) : context.alloc().heapBuffer(size);
    }

    @Override
    protected void encode(ChannelHandlerContext context, Envelope envelope, ByteBuf out) {
      byte[] bytes = envelope.toByteArray();
      traffic.sent(bytes.length + LENGTH_BYTES);
      out.writeInt(bytes.length);
      out.writeBytes(bytes);
    }
  }
}
