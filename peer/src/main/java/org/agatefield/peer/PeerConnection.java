package org.agatefield.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.peer.generated.PeerProtocol.Envelope;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One open connection. Matches answers to requests and passes all other messages to the handler.
 *
 * <p>Invariant: the future of every request completes, at the latest when the connection closes.
 * Thread-safe; frames are received on the channel's event loop.
 */
final class PeerConnection extends SimpleChannelInboundHandler<Envelope> {
  private static final Logger LOGGER = LogManager.getLogger(PeerConnection.class);

  private final NettyPeerTransport transport;
  private final PeerTransportSettings settings;
  private final Map<Long, CompletableFuture<PeerMessage>> openRequests = new ConcurrentHashMap<>();
  private final AtomicLong lastRequest = new AtomicLong();
  private volatile Channel channel;
  private volatile boolean closed;

  PeerConnection(NettyPeerTransport transport, PeerTransportSettings settings) {
    this.transport = transport;
    this.settings = settings;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  Channel channel() {
    return channel;
  }

  void send(PeerMessage message) {
    write(PeerCodec.encode(0, false, message));
  }

  /** Writes a frame, or drops it and returns false if the write buffer is full. */
  boolean write(Envelope envelope) {
    if (!channel.isWritable()) {
      transport.traffic().dropped();
      return false;
    }
    channel.writeAndFlush(envelope, channel.voidPromise());
    return true;
  }

  CompletableFuture<PeerMessage> request(PeerMessage message) {
    CompletableFuture<PeerMessage> future = new CompletableFuture<>();
    if (closed || openRequests.size() >= settings.openRequests()) {
      future.completeExceptionally(failure("too many requests are open", null));
      return future;
    }
    long number = lastRequest.incrementAndGet();
    openRequests.put(number, future);
    if (!write(PeerCodec.encode(number, false, message))) {
      future.completeExceptionally(failure("the write buffer is full", null));
    }
    if (closed) {
      failOpenRequests();
    }
    Future<?> timeout =
        channel
            .eventLoop()
            .schedule(
                () ->
                    future.completeExceptionally(failure("timed out waiting for the answer", null)),
                settings.requestTimeout().toMillis(),
                TimeUnit.MILLISECONDS);
    future.whenComplete(
        (answer, failure) -> {
          timeout.cancel(false);
          openRequests.remove(number);
        });
    return future;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
    if (envelope.hasHello()) {
      Address opener = MembershipCodec.decodeAddress(envelope.getHello().getAddress());
      transport.onAccepted(opener, this);
      return;
    }
    if (envelope.getAnswer()) {
      completeRequest(envelope);
      return;
    }
    Optional<PeerMessage> message = PeerCodec.decode(envelope);
    if (message.isEmpty()) {
      refuse(envelope, "the message is of an unknown kind");
      return;
    }
    if (envelope.getRequestNumber() == 0) {
      transport.handler().received(message.get());
      return;
    }
    handleRequest(envelope, message.get());
  }

  private void handleRequest(Envelope envelope, PeerMessage message) {
    transport
        .handler()
        .requested(message)
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                refuse(envelope, AgatefieldException.from(failure).getMessage());
                return;
              }
              write(PeerCodec.encode(envelope.getRequestNumber(), true, answer));
            });
  }

  private void refuse(Envelope envelope, String reason) {
    if (envelope.getRequestNumber() != 0) {
      write(PeerCodec.failure(envelope.getRequestNumber(), reason));
    }
  }

  private void completeRequest(Envelope envelope) {
    CompletableFuture<PeerMessage> future = openRequests.remove(envelope.getRequestNumber());
    if (future == null) {
      return;
    }
    Optional<PeerMessage> message = PeerCodec.decode(envelope);
    if (message.isPresent()) {
      future.complete(message.get());
      return;
    }
    String reason =
        envelope.hasFailure() ? envelope.getFailure().getReason() : "the answer is of unknown kind";
    future.completeExceptionally(new PeerRefusalException(reason));
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent && openRequests.isEmpty()) {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closed = true;
    transport.onClosed(this);
    failOpenRequests();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOGGER.debug("closing the connection to peer={}", context.channel().remoteAddress(), cause);
    context.close();
  }

  private void failOpenRequests() {
    List<CompletableFuture<PeerMessage>> open = new ArrayList<>(openRequests.values());
    open.forEach(future -> future.completeExceptionally(failure("the connection closed", null)));
  }

  static AgatefieldException failure(String reason, Throwable cause) {
    return new AgatefieldException(ErrorKind.INTERNAL, "peer request failed: " + reason, cause);
  }
}
