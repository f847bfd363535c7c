package org.agatefield.daemon.connections;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decodes the requests of one connection and counts what they hold from the first byte on.
 *
 * <p>Invariants: a request is not decoded before the one ahead of it is answered and its response
 * sent; one connection decodes at most {@link #PIECES_PER_TURN} pieces before the event loop reads
 * the others; nothing is passed on after the connection was given up, nor of a request whose end is
 * ambiguous. Confined to the connection's event loop.
 */
final class CountingRequestDecoder extends VertxHttpRequestDecoder {
  static final int PIECES_PER_TURN = 256;
  private static final int PIECES_OF_HEAD = 16; // What answering a short request costs.
  private static final long TURN_MILLISECONDS = 1; // Timers fire after sockets have been read.
  // A header line is a few objects, of which there are two sets while the request is forwarded.
  private static final int BYTES_OF_LINE = 320;
  // The body grows in a buffer of up to twice its size.
  private static final int BODY_FACTOR = 2;

  private final ConnectionGuard guard;
  private final HeldConnection connection;
  private ChannelHandlerContext context;
  private boolean inBody;
  private Optional<ChunkFraming> chunks = Optional.empty();
  private boolean bodyRejected;
  private boolean unanswered;
  private boolean responseBegun;
  private boolean refused;
  private boolean suspended;
  private int pieces;
  private int blankBytes;
  private int headBytes; // Of the head that arrives.
  private int requestHeadBytes; // Of the request that is not answered yet.
  private int lines;
  private int pendingLines;
  private long bodyBytes;

  CountingRequestDecoder(HttpServerOptions options, ConnectionGuard guard) {
    super(options);
    this.guard = guard;
    this.connection = new HeldConnection(guard.now(), this::giveUp);
  }

  HeldConnection connection() {
    return connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext channelContext, Object message) throws Exception {
    super.channelRead(channelContext, message);
    count();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext channelContext) throws Exception {
    if (suspended) {
      // The inherited method would read on although nothing more may be held.
      discardSomeReadBytes();
      channelContext.fireChannelReadComplete();
      return;
    }
    pieces = 0;
    super.channelReadComplete(channelContext);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext channelContext) throws Exception {
    resumeSoon();
    super.channelWritabilityChanged(channelContext);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) throws Exception {
    context = added;
    super.handlerAdded(added);
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext removed) throws Exception {
    super.handlerRemoved0(removed);
    guard.released(connection);
  }

  @Override
  protected void decode(ChannelHandlerContext channelContext, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (refused || bodyRejected) {
      buffer.skipBytes(buffer.readableBytes());
      return;
    }
    if (isBetweenRequests()) {
      blankBytes += skipBlanks(buffer);
      if (blankBytes > maximumHeadBytes()) {
        rejectHead(buffer, out, tooLong());
        return;
      }
      if (!buffer.isReadable()) {
        return;
      }
    }
    if (mustWait()) {
      suspend();
      return;
    }
    if (isBetweenRequests()) {
      connection.headBegan(guard.now());
    }
    final int start = buffer.readerIndex();
    final int decoded = out.size();
    if (inBody) {
      super.decode(channelContext, buffer, out);
    } else {
      decodeHead(buffer, out);
    }
    int consumed = buffer.readerIndex() - start;
    pieces++;
    if (inBody) {
      countBody(buffer, start, consumed, out.size() > decoded);
      if (chunks.isPresent() && !chunks.get().accepts(buffer, start, consumed)) {
        discard(out, decoded);
        rejectBody(buffer);
        return;
      }
    } else {
      headBytes += consumed;
      lines += linesIn(buffer, start, consumed);
      int incomplete = out.size() > decoded ? 0 : buffer.readableBytes();
      if (headBytes + incomplete > maximumHeadBytes()) {
        discard(out, decoded);
        rejectHead(buffer, out, tooLong());
        return;
      }
      if (hasAmbiguousLength(out, decoded)) {
        discard(out, decoded);
        rejectHead(buffer, out, new IllegalArgumentException("the body's length is ambiguous"));
        return;
      }
    }
    for (Object message : out.subList(decoded, out.size())) {
      received(message);
    }
  }

  /** Decodes no more than may belong to a head, since one read may bring many times as much. */
  private void decodeHead(ByteBuf buffer, List<Object> out) throws Exception {
    int end = buffer.writerIndex();
    int allowed = maximumHeadBytes() - headBytes + 1;
    buffer.writerIndex(Math.min(end, buffer.readerIndex() + allowed));
    try {
      super.decode(context, buffer, out);
    } finally {
      buffer.writerIndex(end);
    }
  }

  private boolean isBetweenRequests() {
    return !inBody && headBytes == 0;
  }

  private boolean mustWait() {
    return isTurnOver() || (isBetweenRequests() && (unanswered || !context.channel().isWritable()));
  }

  private boolean isTurnOver() {
    return pieces >= PIECES_PER_TURN || guard.isReleasing();
  }

  /** Skips line ends and the like, which clients may send before a request. */
  private static int skipBlanks(ByteBuf buffer) {
    int end = buffer.forEachByte(value -> value >= 0 && value <= ' ');
    int length = (end < 0 ? buffer.writerIndex() : end) - buffer.readerIndex();
    buffer.skipBytes(length);
    return length;
  }

  private static int linesIn(ByteBuf buffer, int start, int length) {
    int[] count = new int[1];
    buffer.forEachByte(
        start,
        length,
        value -> {
          if (value == '\n') {
            count[0]++;
          }
          return true;
        });
    return count[0];
  }

  /** Allows an eighth more than configured, since clients count what belongs to a head as well. */
  private int maximumHeadBytes() {
    int configured = guard.limits().headerBytes();
    return configured + configured / 8;
  }

  private static TooLongHttpHeaderException tooLong() {
    return new TooLongHttpHeaderException("the head is larger than allowed");
  }

  /**
   * Returns whether a decoded head leaves open where its body ends: the only transfer coding that
   * is understood is chunked, in HTTP/1.1 (RFC 9112, sections 6.1 and 6.3).
   */
  private static boolean hasAmbiguousLength(List<Object> out, int from) {
    for (int index = from; index < out.size(); index++) {
      boolean isAmbiguous =
          out.get(index) instanceof HttpRequest request
              && request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
              && !isChunkedOnly(request);
      if (isAmbiguous) {
        return true;
      }
    }
    return false;
  }

  private static boolean isChunkedOnly(HttpRequest request) {
    List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return codings.size() == 1
        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
        && request.protocolVersion().equals(HttpVersion.HTTP_1_1);
  }

  /** Rejects a head with both a length and a coding, of which the inherited method drops one. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both a length and a transfer coding");
  }

  private static void discard(List<Object> out, int from) {
    List<Object> discarded = out.subList(from, out.size());
    discarded.forEach(ReferenceCountUtil::release);
    discarded.clear();
  }

  private void rejectBody(ByteBuf buffer) {
    buffer.skipBytes(buffer.readableBytes());
    bodyRejected = true;
    closeAsInvalid();
  }

  private void closeAsInvalid() {
    context.channel().eventLoop().execute(() -> answerAndClose("400 Bad Request", ""));
  }

  private void rejectHead(ByteBuf buffer, List<Object> out, Exception cause) {
    buffer.skipBytes(buffer.readableBytes());
    HttpMessage request = createMessage(new String[] {"GET", "/bad-request", "HTTP/1.1"});
    request.setDecoderResult(DecoderResult.failure(cause));
    out.add(request);
    refused = true;
  }

  /** Counts the lines of trailers, which are held until the last of them has arrived. */
  private void countBody(ByteBuf buffer, int start, int consumed, boolean complete) {
    pendingLines = complete ? 0 : pendingLines + linesIn(buffer, start, consumed);
  }

  private void received(Object message) {
    if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
      rejected(message);
      return;
    }
    if (message instanceof HttpRequest request) {
      inBody = true;
      chunks =
          HttpUtil.isTransferEncodingChunked(request)
              ? Optional.of(new ChunkFraming())
              : Optional.empty();
      unanswered = true;
      responseBegun = false;
      blankBytes = 0;
      requestHeadBytes = headBytes;
      headBytes = 0;
      pieces += PIECES_OF_HEAD;
      connection.bodyArrives(guard.now());
    }
    if (message instanceof HttpContent content) {
      if (unanswered) {
        bodyBytes += content.content().readableBytes();
      }
      connection.bodyArrives(guard.now());
    }
    if (message instanceof LastHttpContent) {
      inBody = false;
      connection.requestArrived(guard.now());
      if (!unanswered) {
        finished();
      }
    }
  }

  private void rejected(Object message) {
    if (message instanceof HttpRequest) {
      refused = true; // The server answers it and closes the connection.
      return;
    }
    closeAsInvalid();
  }

  private void count() {
    long buffered = internalBuffer().isReadable() ? internalBuffer().capacity() : 0;
    long held =
        buffered
            + BODY_FACTOR * (headBytes + requestHeadBytes + bodyBytes)
            + (long) BYTES_OF_LINE * (lines + pendingLines);
    guard.hold(connection, held);
  }

  /** Called when a response begins. */
  void responseBegan() {
    responseBegun = true;
  }

  /** Called when a response is complete, but not all of it has been sent. */
  void responseComplete() {
    if (!refused && !inBody) {
      connection.responseComplete(guard.now());
    }
  }

  /** Called when the operating system has accepted the last byte of a response. */
  void responseSent() {
    if (refused) {
      return; // Its head is held until the connection is closed.
    }
    unanswered = false;
    bodyBytes = 0;
    if (!inBody) {
      finished();
    }
    resumeSoon();
  }

  private void finished() {
    lines = 0;
    requestHeadBytes = 0;
    bodyBytes = 0;
    connection.requestFinished(guard.now());
    count();
  }

  private void suspend() {
    context.channel().config().setAutoRead(false);
    if (suspended) {
      return;
    }
    suspended = true;
    if (isTurnOver()) {
      context
          .channel()
          .eventLoop()
          .schedule(this::resume, TURN_MILLISECONDS, TimeUnit.MILLISECONDS);
    }
  }

  private void resumeSoon() {
    if (suspended) {
      context.channel().eventLoop().execute(this::resume);
    }
  }

  private void resume() {
    if (!suspended || !context.channel().isActive()) {
      return;
    }
    suspended = false;
    pieces = 0;
    try {
      channelRead(context, Unpooled.EMPTY_BUFFER);
      channelReadComplete(context);
    } catch (Exception exception) {
      context.fireExceptionCaught(exception);
      return;
    }
    if (!suspended) {
      context.channel().config().setAutoRead(true);
    }
  }

  /** Closes at once on the event loop, since the other connections that it reads need the room. */
  private void giveUp(GiveUpReason reason) {
    EventLoop loop = context.channel().eventLoop();
    if (loop.inEventLoop()) {
      closeFor(reason);
      return;
    }
    loop.execute(() -> closeFor(reason));
  }

  private void closeFor(GiveUpReason reason) {
    boolean isShortage = reason == GiveUpReason.MEMORY || reason == GiveUpReason.CONNECTIONS;
    if (isShortage) {
      answerAndClose("503 Service Unavailable", "Retry-After: " + guard.retrySeconds() + "\r\n");
      return;
    }
    answerAndClose("408 Request Timeout", "");
  }

  /** Answers a request that has not arrived whole and closes the connection. */
  private void answerAndClose(String status, String headers) {
    if (refused) {
      context.close();
      return;
    }
    boolean incomplete = unanswered ? inBody && !responseBegun : !inBody && headBytes > 0;
    refused = true;
    if (!incomplete || !context.channel().isWritable()) {
      context.close();
      return;
    }
    String response =
        "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\nConnection: close\r\n\r\n";
    context
        .writeAndFlush(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII))
        .addListener(ChannelFutureListener.CLOSE);
  }
}
