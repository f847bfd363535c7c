package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/**
 * Splits the bytes of an event stream into server-sent events.
 *
 * <p>Invariant: the events do not depend on how the bytes are split into buffers; an event without
 * its closing empty line is never given out. Lines end with a line feed, with or without a carriage
 * return before it. Not safe for use by several threads.
 */
final class EventParser {
  private static final String DATA_FIELD = "data";
  private static final String ID_FIELD = "id";

  private final Consumer<ServerSentEvent> events;
  private final RecordParser lines;
  private final int maximumEventBytes;
  private String id = "";
  private Buffer data;

  EventParser(int maximumEventBytes, Consumer<ServerSentEvent> events) {
    this.events = events;
    this.maximumEventBytes = maximumEventBytes;
    this.lines = RecordParser.newDelimited("\n", this::line);
    this.lines.maxRecordSize(maximumEventBytes);
  }

  /**
   * Takes the next bytes.
   *
   * @throws IllegalStateException if a line or an event exceeds the limit
   */
  void accept(Buffer bytes) {
    lines.handle(bytes);
  }

  private void line(Buffer raw) {
    Buffer line = withoutCarriageReturn(raw);
    if (line.length() == 0) {
      endEvent();
      return;
    }
    int colon = indexOfColon(line);
    if (colon == 0) {
      return;
    }
    String field = line.getString(0, colon);
    if (field.equals(DATA_FIELD)) {
      appendData(value(line, colon));
    } else if (field.equals(ID_FIELD)) {
      id = value(line, colon).toString();
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
      throw new IllegalStateException("an event exceeds " + maximumEventBytes + " bytes");
    }
  }

  private void endEvent() {
    if (data != null) {
      ServerSentEvent event = new ServerSentEvent(id, data);
      data = null;
      id = "";
      events.accept(event);
      return;
    }
    id = "";
  }

  private static Buffer withoutCarriageReturn(Buffer line) {
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
