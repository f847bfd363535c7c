package org.agatefield.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the incoming connections that have not named their peer, which anybody can open.
 *
 * <p>Invariants: at most {@code maximum} of them are open, since the oldest is closed for another;
 * each has sent at most {@link #MAXIMUM_BYTES}, which are many times the name of a peer and what
 * may be read along with it. Thread-safe.
 */
final class UnidentifiedConnections {
  static final int MAXIMUM_BYTES = 131_072;

  private final int maximum;
  private final Set<Channel> channels = new LinkedHashSet<>(); // The oldest first.

  UnidentifiedConnections(int maximum) {
    this.maximum = maximum;
  }

  /** Adds a connection; closes the oldest if there are too many. */
  void opened(Channel channel) {
    channel.closeFuture().addListener(closed -> remove(channel));
    channel.pipeline().addFirst(new ByteCounter());
    Channel oldest;
    synchronized (this) {
      channels.add(channel);
      if (channels.size() <= maximum) {
        return;
      }
      Iterator<Channel> oldestFirst = channels.iterator();
      oldest = oldestFirst.next();
      oldestFirst.remove();
    }
    oldest.close();
  }

  /** Records that a connection has named its peer. */
  void identified(Channel channel) {
    if (remove(channel)) {
      channel.pipeline().remove(ByteCounter.class);
    }
  }

  private synchronized boolean remove(Channel channel) {
    return channels.remove(channel);
  }

  /** Closes a connection that sends much without a name. Confined to its event loop. */
  private static final class ByteCounter extends ChannelInboundHandlerAdapter {
    private long bytes;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      bytes += ((ByteBuf) message).readableBytes();
      context.fireChannelRead(message);
      if (bytes > MAXIMUM_BYTES && !context.isRemoved()) {
        context.close();
      }
    }
  }
}
