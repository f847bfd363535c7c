package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UnwrittenResponsesTest {
  private static final int RESPONSE_BYTES = 7 * 1_048_576;
  private static final int STREAM_BYTES = 65_536;

  private final UnwrittenResponses unwritten = new UnwrittenResponses();
  private final List<Caller> callers = new ArrayList<>();

  /** A caller of whose responses nothing is accepted until the promise is completed. */
  private final class Caller implements UnwrittenResponses.Connection {
    private final Promise<Void> write = Promise.promise();
    private final UnwrittenResponses.Share share;
    private boolean closed;
    private int drained;

    Caller(long deadline) {
      share = unwritten.share(this, "r" + callers.size(), deadline);
      callers.add(this);
    }

    Caller add(int bytes) {
      share.add(bytes, write.future());
      return this;
    }

    @Override
    public void close() {
      closed = true;
    }

    @Override
    public void drained() {
      drained++;
    }
  }

  private static long inFuture() {
    return MonotonicClock.milliseconds() + 60_000;
  }

  private long closedCallers() {
    return callers.stream().filter(caller -> caller.closed).count();
  }

  @Test
  void bytesCountUntilTheirWriteCompletes() {
    Caller caller = new Caller(inFuture()).add(RESPONSE_BYTES);
    assertEquals(RESPONSE_BYTES, unwritten.totalBytes());
    caller.write.complete();
    assertEquals(0, unwritten.totalBytes());
    assertEquals(1, caller.drained);
    assertFalse(caller.closed);
  }

  /** Guards against a response that waits for ever because its write failed. */
  @Test
  void failedWriteClosesTheConnection() {
    Caller caller = new Caller(inFuture()).add(RESPONSE_BYTES);
    caller.write.fail("no memory");
    assertTrue(caller.closed);
    assertEquals(0, unwritten.totalBytes());
  }

  @Test
  void slowCallersAreKeptWhileThereIsRoom() {
    for (int number = 0; number < 5; number++) {
      new Caller(inFuture()).add(RESPONSE_BYTES);
    }
    assertEquals(0, closedCallers());
    assertTrue(unwritten.isFull());
  }

  @Test
  void callersThatNoLongerWaitAreClosedFirst() {
    new Caller(inFuture()).add(RESPONSE_BYTES);
    final Caller late = new Caller(MonotonicClock.milliseconds() - 1).add(RESPONSE_BYTES);
    new Caller(inFuture()).add(RESPONSE_BYTES);
    assertEquals(0, closedCallers());
    new Caller(inFuture()).add(RESPONSE_BYTES);
    assertEquals(1, closedCallers());
    assertTrue(late.closed);
  }

  /** Guards against unread responses that together use up the memory of the process. */
  @Test
  void totalStaysWithinItsLimitAsTheLongestWaitingIsClosed() {
    for (int number = 0; number < 100; number++) {
      new Caller(inFuture()).add(RESPONSE_BYTES);
      assertTrue(unwritten.totalBytes() <= UnwrittenResponses.MAXIMUM_BYTES);
    }
    assertTrue(callers.get(0).closed);
    assertFalse(callers.get(99).closed);
  }

  @Test
  void streamIsFullEarlierWhileThereIsNoRoom() {
    Caller stream = new Caller(inFuture()).add(1);
    assertFalse(stream.share.isFull(STREAM_BYTES));
    for (int number = 0; number < 4; number++) {
      new Caller(inFuture()).add(RESPONSE_BYTES);
    }
    assertTrue(stream.share.isFull(STREAM_BYTES));
  }

  @Test
  void readingGoesOnWhenThereIsRoomAgain() {
    for (int number = 0; number < 4; number++) {
      new Caller(inFuture()).add(RESPONSE_BYTES);
    }
    List<String> calls = new ArrayList<>();
    unwritten.whenRoom(() -> calls.add("room"));
    assertEquals(List.of(), calls);
    callers.get(0).write.complete();
    assertEquals(List.of("room"), calls);
    callers.get(1).write.complete();
    assertEquals(List.of("room"), calls);
  }

  @Test
  void completeResponsesAreCountedUntilTheyAreWritten() {
    Caller slow = new Caller(inFuture());
    slow.share.addLast(0, slow.write.future());
    new Caller(inFuture()).share.addLast(0, Future.succeededFuture());
    assertEquals(1, unwritten.count());
    slow.write.complete();
    assertEquals(0, unwritten.count());
  }

  /** Guards against a planned stop that waits for a response whose connection was closed. */
  @Test
  void closedResponseIsNoLongerCounted() {
    Caller slow = new Caller(inFuture());
    slow.share.addLast(1, slow.write.future());
    slow.share.close();
    assertEquals(0, unwritten.count());
    slow.write.fail("closed");
    assertEquals(0, unwritten.count());
  }
}
