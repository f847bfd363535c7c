package org.agatefield.standin.relay;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * Relays bytes in one direction, with one bandwidth limit shared by all connections.
 *
 * <p>Confined to the event loop of the relay.
 */
final class RelayDirection {
  private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;
  private static final long HALF_OPEN_CHECK_MILLISECONDS = 20;

  private final Vertx vertx;
  private final Supplier<RelayBehaviour> behaviour;
  private long freeAtNanoseconds = System.nanoTime();
  private long bytes;

  RelayDirection(Vertx vertx, Supplier<RelayBehaviour> behaviour) {
    this.vertx = vertx;
    this.behaviour = behaviour;
  }

  long bytes() {
    return bytes;
  }

  void relay(NetSocket source, NetSocket target) {
    OrderedWriter writer = new OrderedWriter(target);
    source.handler(data -> received(source, data, writer));
    source.endHandler(ignored -> writer.close());
    source.exceptionHandler(ignored -> target.close());
  }

  private void received(NetSocket source, Buffer data, OrderedWriter writer) {
    RelayBehaviour current = behaviour.get();
    bytes += data.length();
    if (current.halfOpen()) {
      source.pause();
      vertx.setTimer(
          HALF_OPEN_CHECK_MILLISECONDS, ignored -> waitWhileHalfOpen(source, data, writer));
      return;
    }
    long now = System.nanoTime();
    long start = Math.max(now, freeAtNanoseconds);
    long transfer =
        current.bitsPerSecond() == 0
            ? 0
            : data.length() * 8L * NANOSECONDS_PER_SECOND / current.bitsPerSecond();
    freeAtNanoseconds = start + transfer;
    long waitNanoseconds = freeAtNanoseconds - now;
    if (waitNanoseconds > NANOSECONDS_PER_MILLISECOND) {
      source.pause();
      vertx.setTimer(waitNanoseconds / NANOSECONDS_PER_MILLISECOND, ignored -> source.resume());
    }
    writer.write(data, current.delayMilliseconds() + waitNanoseconds / NANOSECONDS_PER_MILLISECOND);
  }

  private void waitWhileHalfOpen(NetSocket source, Buffer data, OrderedWriter writer) {
    if (behaviour.get().halfOpen()) {
      vertx.setTimer(
          HALF_OPEN_CHECK_MILLISECONDS, ignored -> waitWhileHalfOpen(source, data, writer));
      return;
    }
    bytes -= data.length();
    received(source, data, writer);
    source.resume();
  }

  /** Writes to a socket after a delay; a single pending timer preserves the order of the calls. */
  private final class OrderedWriter {
    private final NetSocket target;
    private final Deque<ScheduledAction> waiting = new ArrayDeque<>();

    private OrderedWriter(NetSocket target) {
      this.target = target;
    }

    private void write(Buffer data, long delayMilliseconds) {
      after(delayMilliseconds, () -> target.write(data));
    }

    private void close() {
      after(behaviour.get().delayMilliseconds(), target::close);
    }

    private void after(long delayMilliseconds, Runnable action) {
      long due = System.nanoTime() + delayMilliseconds * NANOSECONDS_PER_MILLISECOND;
      waiting.add(new ScheduledAction(due, action));
      if (waiting.size() == 1) {
        waitForFirst();
      }
    }

    private void waitForFirst() {
      long nanoseconds = waiting.peek().dueNanoseconds() - System.nanoTime();
      if (nanoseconds > 0) {
        long milliseconds = nanoseconds / NANOSECONDS_PER_MILLISECOND + 1;
        vertx.setTimer(milliseconds, ignored -> runFirst());
      } else {
        runFirst();
      }
    }

    private void runFirst() {
      waiting.peek().action().run();
      waiting.poll();
      if (!waiting.isEmpty()) {
        waitForFirst();
      }
    }
  }

  /**
   * An action scheduled for a point in time. Immutable.
   *
   * @param dueNanoseconds due time on the monotonic clock
   * @param action the action to run
   */
  private record ScheduledAction(long dueNanoseconds, Runnable action) {}
}
