package org.agatefield.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Splits the bytes of an event stream into complete events, so that no partial event is passed on.
 *
 * <p>Invariants: the returned events followed by {@link #remainder()} are the bytes that were fed,
 * in order; comments and empty lines that are fed together are one event, as each event costs far
 * more than its bytes. Feeding takes time linear in the number of bytes, however long an event is.
 * Not thread safe.
 */
public final class EventStreamSplitter {
  private static final byte[] ID_FIELD = {'i', 'd', ':'};
  private static final byte COMMENT = ':';
  private static final int INITIAL_BYTES = 512; // several events of usual size
  private static final int LONGEST_SEPARATOR = 3;

  private byte[] buffer = new byte[INITIAL_BYTES];
  private int length;
  private int searchFrom;

  /**
   * A complete event. Immutable as long as the array is not modified.
   *
   * @param bytes the event including the empty line that ends it
   * @param id the event's identifier, if it has one
   * @param empty whether it consists only of comments, which some servers send as keep-alives
   */
  public record Event(byte[] bytes, Optional<String> id, boolean empty) {}

  /** Adds bytes and returns the events that they complete. */
  public List<Event> feed(byte[] bytes) {
    append(bytes);
    List<Event> events = new ArrayList<>();
    int start = 0;
    int end = endOfEvent(searchFrom);
    while (end > 0) {
      boolean empty = isEmpty(start, end);
      int next = endOfEvent(end);
      while (empty && next > 0 && isEmpty(end, next)) {
        end = next;
        next = endOfEvent(end);
      }
      byte[] event = Arrays.copyOfRange(buffer, start, end);
      events.add(new Event(event, empty ? Optional.empty() : idOf(event), empty));
      start = end;
      end = next;
    }
    length -= start;
    System.arraycopy(buffer, start, buffer, 0, length);
    searchFrom = Math.max(0, length - LONGEST_SEPARATOR);
    return events;
  }

  /** Returns the number of bytes of the incomplete event. */
  public int remainingBytes() {
    return length;
  }

  /** Returns the bytes of the incomplete event. */
  public byte[] remainder() {
    return Arrays.copyOf(buffer, length);
  }

  private void append(byte[] bytes) {
    if (length + bytes.length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, length + bytes.length));
    }
    System.arraycopy(bytes, 0, buffer, length, bytes.length);
    length += bytes.length;
  }

  /** Returns the index after the next empty line; 0 if there is none. */
  private int endOfEvent(int from) {
    for (int index = from; index + 1 < length; index++) {
      if (buffer[index] != '\n') {
        continue;
      }
      if (buffer[index + 1] == '\n') {
        return index + 2;
      }
      if (buffer[index + 1] == '\r' && index + 2 < length && buffer[index + 2] == '\n') {
        return index + LONGEST_SEPARATOR;
      }
    }
    return 0;
  }

  private static Optional<String> idOf(byte[] event) {
    int lineStart = 0;
    while (lineStart < event.length) {
      int lineEnd = lineStart;
      while (lineEnd < event.length && event[lineEnd] != '\n') {
        lineEnd++;
      }
      if (Arrays.equals(
          event,
          lineStart,
          Math.min(lineStart + ID_FIELD.length, lineEnd),
          ID_FIELD,
          0,
          ID_FIELD.length)) {
        int valueStart = lineStart + ID_FIELD.length;
        String value = new String(event, valueStart, lineEnd - valueStart, StandardCharsets.UTF_8);
        return Optional.of(value.strip());
      }
      lineStart = lineEnd + 1;
    }
    return Optional.empty();
  }

  private boolean isEmpty(int start, int end) {
    boolean lineStarts = true;
    for (int index = start; index < end; index++) {
      byte each = buffer[index];
      if (lineStarts && each != COMMENT && each != '\n' && each != '\r') {
        return false;
      }
      lineStarts = each == '\n';
    }
    return true;
  }
}
