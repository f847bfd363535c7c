package org.agatefield.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream into whole events, so that no half event is passed on.
 *
 * <p>Invariant: the returned events and {@link #remainder()} are the bytes that were fed, in order.
 * Not safe for use by several threads.
 */
public final class EventStreamSplitter {
  private static final String ID_FIELD = "id:";

  private byte[] pending = new byte[0];

  /**
   * A whole event. Immutable as long as nobody changes the array.
   *
   * @param bytes the event with the empty line that ends it
   * @param id the event's identifier, if it has one
   */
  public record Event(byte[] bytes, Optional<String> id) {}

  /** Takes further bytes and returns the events that they complete. */
  public List<Event> feed(byte[] bytes) {
    int searched = Math.max(0, pending.length - 3);
    byte[] all = Arrays.copyOf(pending, pending.length + bytes.length);
    System.arraycopy(bytes, 0, all, pending.length, bytes.length);
    List<Event> events = new ArrayList<>();
    int start = 0;
    int end = endOfEvent(all, searched);
    while (end > 0) {
      byte[] event = Arrays.copyOfRange(all, start, end);
      events.add(new Event(event, idOf(event)));
      start = end;
      end = endOfEvent(all, start);
    }
    pending = Arrays.copyOfRange(all, start, all.length);
    return events;
  }

  /** Returns the bytes of the event that is not whole yet. */
  public byte[] remainder() {
    return pending.clone();
  }

  /** Returns the index after the next empty line; 0 if there is none. */
  private static int endOfEvent(byte[] bytes, int from) {
    for (int index = from; index + 1 < bytes.length; index++) {
      if (bytes[index] != '\n') {
        continue;
      }
      if (bytes[index + 1] == '\n') {
        return index + 2;
      }
      if (bytes[index + 1] == '\r' && index + 2 < bytes.length && bytes[index + 2] == '\n') {
        return index + 3;
      }
    }
    return 0;
  }

  private static Optional<String> idOf(byte[] event) {
    String text = new String(event, StandardCharsets.UTF_8);
    for (String line : text.split("\r?\n")) {
      if (line.startsWith(ID_FIELD)) {
        return Optional.of(line.substring(ID_FIELD.length()).strip());
      }
    }
    return Optional.empty();
  }
}
