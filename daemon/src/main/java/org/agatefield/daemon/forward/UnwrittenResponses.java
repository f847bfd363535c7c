package org.agatefield.daemon.forward;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts the bytes of responses that the operating system has not accepted, as their callers read
 * slowly, and the complete responses among them, which would be lost if their connections were
 * closed.
 *
 * <p>Invariants: a byte counts from its write until the write completes or the response is closed;
 * the total exceeds {@link #MAXIMUM_BYTES} by at most one write, since the response that has waited
 * the longest is closed for another; from {@link #FULL_BYTES} on, responses whose callers no longer
 * wait are closed. Confined to one event loop, but for the counts, which any thread may read.
 */
final class UnwrittenResponses {
  /** Total above which large responses are no longer read from runners. */
  static final long FULL_BYTES = 24L * 1_048_576;

  static final long MAXIMUM_BYTES = 40L * 1_048_576; // Two thirds of the usual direct memory.

  private static final Logger LOGGER = LogManager.getLogger(UnwrittenResponses.class);

  private final Set<Share> waiting = new LinkedHashSet<>(); // The longest waiting one first.
  private final List<Runnable> waitingForRoom = new ArrayList<>();
  private volatile int count; // Written by the event loop only.
  private volatile long total; // Written by the event loop only.

  /** The connection of a caller. Used on the event loop. */
  interface Connection {
    /** Closes the connection without waiting for the caller to read. */
    void close();

    /** Called when all bytes have been accepted. */
    void drained();
  }

  /**
   * The unwritten bytes of one response.
   *
   * <p>Invariant: holds no bytes once it is closed. Confined to the event loop.
   */
  final class Share {
    private final Connection connection;
    private final String requestId;
    private final long deadline;
    private long bytes;
    private boolean awaitsLastWrite;
    private boolean closed;

    private Share(Connection connection, String requestId, long deadline) {
      this.connection = connection;
      this.requestId = requestId;
      this.deadline = deadline;
    }

    /** Adds bytes of a response that goes on. */
    void add(int addedBytes, Future<Void> write) {
      if (closed) {
        return;
      }
      bytes += addedBytes;
      total += addedBytes;
      waiting.add(this);
      write.onComplete(written -> completed(addedBytes, written.cause()));
      makeRoom(this);
    }

    /** Adds the last bytes of a response. */
    void addLast(int addedBytes, Future<Void> write) {
      if (closed) {
        return;
      }
      count++;
      awaitsLastWrite = true;
      add(addedBytes, write);
      write.onComplete(written -> lastWriteEnded());
    }

    private void lastWriteEnded() {
      if (awaitsLastWrite) {
        awaitsLastWrite = false;
        count--;
      }
    }

    /** Returns whether the caller has read all that was written. */
    boolean isDrained() {
      return bytes == 0;
    }

    /** Returns whether the caller has to read before more is written. */
    boolean isFull(long maximumBytes) {
      return bytes > (UnwrittenResponses.this.isFull() ? 0 : maximumBytes);
    }

    private void completed(int writtenBytes, Throwable failure) {
      if (closed) {
        return;
      }
      if (failure != null) {
        LOGGER.info(
            "request={} unwritten_bytes={} write_failed=\"{}\"",
            requestId,
            bytes,
            failure.getMessage());
        close();
        return;
      }
      bytes -= writtenBytes;
      total -= writtenBytes;
      if (isDrained()) {
        waiting.remove(this);
        connection.drained();
      }
      continueReading();
    }

    /** Closes the connection and gives up the bytes that its caller has not read. */
    void close() {
      if (closed) {
        return;
      }
      closed = true;
      waiting.remove(this);
      total -= bytes;
      bytes = 0;
      lastWriteEnded();
      connection.close();
      continueReading();
    }
  }

  /**
   * Returns a share that holds no bytes yet.
   *
   * @param deadline when the caller stops waiting, in monotonic milliseconds
   */
  Share share(Connection connection, String requestId, long deadline) {
    return new Share(connection, requestId, deadline);
  }

  /** Returns the number of complete responses that are not written to their last byte. */
  int count() {
    return count;
  }

  /** Returns the unwritten bytes of all responses. */
  long totalBytes() {
    return total;
  }

  /** Returns whether large responses have to wait for room. */
  boolean isFull() {
    return total > FULL_BYTES;
  }

  /** Calls back once when there is room for large responses again. */
  void whenRoom(Runnable action) {
    waitingForRoom.add(action);
    continueReading();
  }

  private void continueReading() {
    if (isFull() || waitingForRoom.isEmpty()) {
      return;
    }
    List<Runnable> actions = List.copyOf(waitingForRoom);
    waitingForRoom.clear();
    actions.forEach(Runnable::run);
  }

  private void makeRoom(Share added) {
    if (!isFull()) {
      return;
    }
    long now = MonotonicClock.milliseconds();
    for (Share share : List.copyOf(waiting)) {
      if (share.deadline < now) {
        closeForRoom(share, "deadline");
      }
    }
    while (total > MAXIMUM_BYTES) {
      Optional<Share> oldest = waiting.stream().filter(share -> share != added).findFirst();
      if (oldest.isEmpty()) {
        return;
      }
      closeForRoom(oldest.get(), "memory");
    }
  }

  private void closeForRoom(Share share, String cause) {
    LOGGER.warn(
        "request={} unwritten_bytes={} total_bytes={} deadline_ms_ago={} closed=\"{}\"",
        share.requestId,
        share.bytes,
        total,
        MonotonicClock.milliseconds() - share.deadline,
        cause);
    share.close();
  }
}
