package org.agatefield.daemon.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpServerOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.agatefield.forwarding.IngressLimits;
import org.junit.jupiter.api.Test;

class CountingRequestDecoderTest {
  private static final IngressLimits LIMITS = new IngressLimits(2_048, 65_536, 3_000, 15_000);
  private static final String REQUEST =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
  private static final String CHUNKED_REQUEST =
      "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
          + "4;x=y\r\nbody\r\n0\r\nTrailer: t\r\n\r\n";
  private static final List<String> ODD_PIECES =
      List.of(
          REQUEST,
          CHUNKED_REQUEST,
          "\r\n",
          "\n",
          "\0",
          " ",
          "a:b\r\n",
          ": b\r\n",
          "no colon\r\n",
          " folded\r\n",
          "Content-Length: 99999999999999999999\r\n",
          "Content-Length: -1\r\n",
          "Transfer-Encoding: chunked\r\n",
          "GET / HTTP/1.1\r\n",
          "GET\r\n",
          Character.toString(233) + Character.toString(255),
          "ffffffff\r\n",
          "7\r\nseven b\r\n",
          "0\r\n\r\n",
          "x".repeat(700));

  private final HeldConnections held =
      new HeldConnections(new ConnectionBounds(1_000_000, 100), () -> 0);
  private final ConnectionGuard guard = new ConnectionGuard(held, () -> LIMITS, () -> 0);

  private EmbeddedChannel channel() {
    CountingRequestDecoder decoder = new CountingRequestDecoder(new HttpServerOptions(), guard);
    held.add(decoder.connection(), 0);
    return new EmbeddedChannel(decoder, new ResponseWatch(decoder));
  }

  private static void send(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  private static void answer(EmbeddedChannel channel) {
    channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    channel.releaseOutbound();
    channel.runPendingTasks();
  }

  /** Takes what was decoded, as the text of the bodies and one character a request. */
  private static String decoded(EmbeddedChannel channel) {
    StringBuilder text = new StringBuilder();
    for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
      if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
        text.append('!');
      } else if (message instanceof HttpRequest request) {
        text.append(request.uri());
      }
      if (message instanceof HttpContent content) {
        text.append(content.content().toString(StandardCharsets.ISO_8859_1));
      }
      ReferenceCountUtil.release(message);
    }
    return text.toString();
  }

  @Test
  void requestWaitsUntilTheOneAheadOfItIsAnswered() {
    EmbeddedChannel channel = channel();
    send(channel, REQUEST + CHUNKED_REQUEST + REQUEST);
    assertEquals("/abody", decoded(channel));
    assertFalse(channel.config().isAutoRead());
    answer(channel);
    assertEquals("/bbody", decoded(channel));
    answer(channel);
    assertEquals("/abody", decoded(channel));
    answer(channel);
    assertTrue(channel.config().isAutoRead());
    assertEquals(0, held.bytes());
    channel.finishAndReleaseAll();
  }

  @Test
  void whatRequestHoldsCountsUntilItIsAnswered() {
    EmbeddedChannel channel = channel();
    send(channel, "POST /a HTTP/1.1\r\n" + "a:b\r\n".repeat(100));
    assertTrue(held.bytes() > 100 * 300, "held: " + held.bytes());
    send(channel, "Content-Length: 1000\r\n\r\n" + "x".repeat(999));
    long held999 = held.bytes();
    assertTrue(held999 > 100 * 300 + 2 * 999, "held: " + held999);
    send(channel, "x");
    assertTrue(held.bytes() > held999);
    answer(channel);
    assertEquals(0, held.bytes());
    channel.finishAndReleaseAll();
  }

  @Test
  void headOverTheLimitIsRejected() {
    EmbeddedChannel channel = channel();
    send(channel, "GET /a HTTP/1.1\r\n" + "a:b\r\n".repeat(600));
    assertEquals("!", decoded(channel));
    send(channel, REQUEST);
    assertEquals("", decoded(channel));
    channel.finishAndReleaseAll();
  }

  /** Guards against a request that is read out of the body of another one (review/14). */
  @Test
  void requestWhoseLengthIsAmbiguousIsRejectedWithAllThatFollows() {
    List<String> fields =
        List.of(
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: chunked, gzip",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: chunked, chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: xchunked",
            "Transfer-Encoding:",
            "Transfer-Encoding: chunked\r\nContent-Length: 4",
            "Content-Length: 4\r\nTransfer-Encoding: chunked",
            "Content-Length: 4\r\nContent-Length: 5",
            "Content-Length: 4, 5",
            "Content-Length: +4");
    for (String each : fields) {
      EmbeddedChannel channel = channel();
      send(channel, "POST /b HTTP/1.1\r\nHost: h\r\n" + each + "\r\n\r\n" + REQUEST);
      assertEquals("!", decoded(channel), each);
      channel.finishAndReleaseAll();
    }
    EmbeddedChannel channel = channel();
    send(channel, CHUNKED_REQUEST.replace("HTTP/1.1", "HTTP/1.0"));
    assertEquals("!", decoded(channel));
    channel.finishAndReleaseAll();
  }

  /** Guards against a chunk whose size is kept in fewer digits than it has (review/14). */
  @Test
  void requestWithInvalidChunkIsGivenUpBeforeItsBodyEnds() {
    List<String> chunks =
        List.of(
            "100000000\r\n\r\n",
            "10000000000000000\r\n\r\n",
            "0100000000;x=y\r\n\r\n",
            "80000000\r\n\r\n",
            "\r\n\r\n",
            " 0\r\n\r\n",
            "0x0\r\n\r\n",
            "-0\r\n\r\n",
            "0\n\r\n",
            "4\r\nbodyx\r\n0\r\n\r\n",
            "4\r\nbody\n0\r\n\r\n");
    String head = "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (String chunk : chunks) {
      for (int split = 0; split <= chunk.length(); split++) {
        EmbeddedChannel channel = channel();
        send(channel, head + chunk.substring(0, split));
        if (channel.isActive()) {
          send(channel, chunk.substring(split) + REQUEST);
        }
        channel.runPendingTasks();
        assertFalse(
            channel.inboundMessages().stream().anyMatch(LastHttpContent.class::isInstance),
            chunk + " ended the body");
        assertFalse(channel.isActive(), chunk + " left the connection open");
        channel.finishAndReleaseAll();
      }
    }
  }

  @Test
  void soundChunksAreDecodedHoweverTheyArrive() {
    String request =
        "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n"
            + "0004;x=\"y\"\r\nbody\r\nA\r\n0123456789\r\n00\r\nTrailer: t\r\n\r\n";
    for (int split = 0; split <= request.length(); split++) {
      EmbeddedChannel channel = channel();
      send(channel, request.substring(0, split));
      send(channel, request.substring(split) + REQUEST);
      assertEquals("/bbody0123456789", decoded(channel));
      answer(channel);
      assertEquals("/abody", decoded(channel));
      channel.finishAndReleaseAll();
    }
  }

  @Test
  void headWithinTheLimitIsDecoded() {
    EmbeddedChannel channel = channel();
    String begin = "GET /a HTTP/1.1\r\nb: ";
    send(channel, begin + "c".repeat(LIMITS.headerBytes() - begin.length() - 4) + "\r\n\r\n");
    assertEquals("/a", decoded(channel));
    channel.finishAndReleaseAll();
  }

  @Test
  void emptyLinesBeforeRequestAreSkippedUpToTheLimit() {
    EmbeddedChannel channel = channel();
    send(channel, "\r\n\r\n" + REQUEST);
    assertEquals("/abody", decoded(channel));
    answer(channel);
    for (int number = 0; number < 20; number++) {
      send(channel, "\r\n".repeat(100));
    }
    assertEquals("!", decoded(channel));
    channel.finishAndReleaseAll();
  }

  @Test
  void manyPiecesOfBodyWaitForTheirTurn() {
    EmbeddedChannel channel = channel();
    channel.freezeTime();
    String chunk = "1\r\nx\r\n";
    send(
        channel,
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk.repeat(1_000)
            + "0\r\n\r\n");
    String first = decoded(channel);
    assertTrue(first.length() <= CountingRequestDecoder.PIECES_PER_TURN, "decoded: " + first);
    assertFalse(channel.config().isAutoRead());
    StringBuilder all = new StringBuilder(first);
    for (int turn = 0; turn < 10; turn++) {
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
      all.append(decoded(channel));
    }
    assertEquals("/a" + "x".repeat(1_000), all.toString());
    channel.finishAndReleaseAll();
  }

  @Property(tries = 300, seed = "5101")
  void requestsAreTheSameInWhateverPiecesTheyArrive(@ForAll int randomSeed) {
    Random random = new Random(randomSeed);
    EmbeddedChannel channel = channel();
    StringBuilder text = new StringBuilder();
    StringBuilder expected = new StringBuilder();
    for (int number = 0; number < 5; number++) {
      boolean chunked = random.nextBoolean();
      text.append("\r\n".repeat(random.nextInt(3))).append(chunked ? CHUNKED_REQUEST : REQUEST);
      expected.append(chunked ? "/bbody" : "/abody");
    }
    StringBuilder seen = new StringBuilder();
    int at = 0;
    while (at < text.length()) {
      int end = Math.min(text.length(), at + 1 + random.nextInt(60));
      send(channel, text.substring(at, end));
      seen.append(decoded(channel));
      answer(channel);
      seen.append(decoded(channel));
      at = end;
    }
    for (int number = 0; number < 5; number++) {
      answer(channel);
      seen.append(decoded(channel));
    }
    assertEquals(expected.toString(), seen.toString());
    channel.finishAndReleaseAll();
  }

  @Property(tries = 500, seed = "5102")
  void oddBytesNeitherEscapeTheCountNorThrow(@ForAll int randomSeed) {
    Random random = new Random(randomSeed);
    EmbeddedChannel channel = channel();
    List<String> sent = new ArrayList<>();
    for (int number = 0; number < 40 && channel.isOpen(); number++) {
      String piece = ODD_PIECES.get(random.nextInt(ODD_PIECES.size()));
      sent.add(piece);
      send(channel, piece);
      decoded(channel);
      if (random.nextInt(4) == 0 && channel.isOpen()) {
        answer(channel);
      }
      channel.checkException();
      assertTrue(held.bytes() <= 1_000_000, () -> "held after " + sent);
    }
    channel.releaseOutbound();
    channel.finishAndReleaseAll();
    assertEquals(0, held.size());
    assertEquals(0, held.bytes());
  }

  @Test
  void clientThatIsGivenUpInItsBodyLearnsThatNothingRan() {
    EmbeddedChannel channel = channel();
    send(channel, "POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nx");
    held.overdue(LIMITS, 15_900);
    guard.sweep(16_900);
    channel.runPendingTasks();
    ByteBuf response = channel.readOutbound();
    assertTrue(
        response.toString(StandardCharsets.US_ASCII).startsWith("HTTP/1.1 408 Request Timeout"));
    response.release();
    assertFalse(channel.isOpen());
    assertEquals(0, held.size());
  }
}
