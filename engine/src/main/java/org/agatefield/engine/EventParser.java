package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/**
 * Parses the bytes of an event stream into server-sent events.
 *
 * <p>Invariants: the events do not depend on how the bytes are split into buffers; an event without
 * its terminating empty line is never emitted. Lines end with a line feed, optionally preceded by a
 * carriage return. Lines without data are counted from event to event, so that comments without end
 * are an error. Not safe for use by several threads.
 */
final class EventParser {
  private static final String DATA_FIELD = "data";
  private static final String ID_FIELD = "id";
  private static final int MAXIMUM_SKIPPED_BYTES = 65_536; // A keep-alive takes some ten bytes.

  private final Consumer<ServerSentEvent> events;
  private final RecordParser lines;
  private final int maximumEventBytes;
  private String id = "";
  private Buffer data;
  private int skippedBytes;

  EventParser(int maximumEventBytes, Consumer<ServerSentEvent> events) {
    this.events = events;
    this.maximumEventBytes = maximumEventBytes;
    this.lines = RecordParser.newDelimited("\n", this::handleLine);
    this.lines.maxRecordSize(maximumEventBytes);
  }

  /**
   * Parses the next bytes.
   *
   * @throws IllegalStateException if a line or an event exceeds the limit, or if comments and empty
   *     lines go on without an event
   */
  void accept(Buffer bytes) {
    lines.handle(bytes);
  }

  private void handleLine(Buffer raw) {
    Buffer line = stripCarriageReturn(raw);
    if (line.length() == 0) {
      endEvent();
      return;
    }
    int colon = indexOfColon(line);
    String field = line.getString(0, colon);
    if (field.equals(DATA_FIELD)) {
      appendData(value(line, colon));
      return;
    }
    if (field.equals(ID_FIELD)) {
      id = value(line, colon).toString();
    }
    countSkipped(line.length());
  }

  /** Counts a line without data, and its line feed. */
  private void countSkipped(int lineBytes) {
    skippedBytes += lineBytes + 1;
    if (skippedBytes > MAXIMUM_SKIPPED_BYTES) {
      throw new IllegalStateException("comments without an event");
    }
  }

  private void appendData(Buffer value) {
    if (data == null) {
      data = value;
    } else {
      data = Buffer.buffer(data.length() + 1 + value.length()).appendBuffer(data);
      data.appendByte((byte) '\n').appendBuffer(value);
    }
    if (data.length() > maximumEventBytes) {
      throw new IllegalStateException("event exceeds " + maximumEventBytes + " bytes");
    }
  }

  private void endEvent() {
    if (data != null) {
      final ServerSentEvent event = new ServerSentEvent(id, data);
      data = null;
      id = "";
      skippedBytes = 0;
      events.accept(event);
      return;
    }
    id = "";
    countSkipped(0);
  }

  private static Buffer stripCarriageReturn(Buffer line) {
    int last = line.length() - 1;
    if (last >= 0 && line.getByte(last) == '\r') {
      return line.slice(0, last);
    }
    return line;
  }

  private static int indexOfColon(Buffer line) {
    for (int position = 0; position < line.length(); position++) {
      if (line.getByte(position) == ':') {
        return position;
      }
    }
    return line.length();
  }

  private static Buffer value(Buffer line, int colon) {
    int start = Math.min(colon + 1, line.length());
    if (start < line.length() && line.getByte(start) == ' ') {
      start++;
    }
    return line.slice(start, line.length());
  }
}
