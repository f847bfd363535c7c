package org.agatefield.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Requirement REQ-WHOLE-ANSWER: events do not depend on how the network splits the bytes. */
class EventParserTest {
  private static final int LIMIT_BYTES = 10_000;

  @Property(tries = 500, seed = "42")
  void eventsDoNotDependOnHowBytesAreSplit(
      @ForAll("events") List<TextEvent> events,
      @ForAll boolean carriageReturns,
      @ForAll List<Integer> splits) {
    StringBuilder stream = new StringBuilder();
    events.forEach(event -> stream.append(event.encoded()));
    String text = stream.toString();
    byte[] bytes = (carriageReturns ? text.replace("\n", "\r\n") : text).getBytes();
    assertEquals(events, parse(bytes, splits));
  }

  @Property(tries = 500, seed = "43")
  void unterminatedEventIsNotEmitted(
      @ForAll("events") List<TextEvent> events, @ForAll List<Integer> splits) {
    StringBuilder stream = new StringBuilder();
    events.forEach(event -> stream.append(event.encoded()));
    byte[] bytes = (stream + "data: begun\n").getBytes();
    assertEquals(events, parse(bytes, splits));
  }

  @Example
  void dataLinesAreJoinedAndCommentsAndUnknownFieldsSkipped() {
    String stream = ": comment\nretry: 5\nid:a/1\ndata:one\ndata:  two\n\n\n\ndata\n\n";
    assertEquals(
        List.of(new TextEvent("a/1", "one\n two"), new TextEvent("", "")),
        parse(stream.getBytes(), List.of()));
  }

  @Example
  void linesAndEventsOverLimitAreRejected() {
    EventParser parser = new EventParser(100, event -> {});
    Buffer line = Buffer.buffer("data: " + "x".repeat(60) + "\n");
    parser.accept(line);
    assertThrows(IllegalStateException.class, () -> parser.accept(line));
    EventParser other = new EventParser(100, event -> {});
    assertThrows(IllegalStateException.class, () -> other.accept(Buffer.buffer("d".repeat(200))));
  }

  private static List<TextEvent> parse(byte[] bytes, List<Integer> splits) {
    List<TextEvent> parsed = new ArrayList<>();
    EventParser parser =
        new EventParser(
            LIMIT_BYTES, event -> parsed.add(new TextEvent(event.id(), event.data().toString())));
    int position = 0;
    int splitIndex = 0;
    while (position < bytes.length) {
      int step = splits.isEmpty() ? bytes.length : Math.floorMod(splits.get(splitIndex), 7) + 1;
      splitIndex = splits.isEmpty() ? 0 : (splitIndex + 1) % splits.size();
      int end = Math.min(bytes.length, position + step);
      parser.accept(Buffer.buffer().appendBytes(bytes, position, end - position));
      position = end;
    }
    return parsed;
  }

  @Provide
  Arbitrary<List<TextEvent>> events() {
    Arbitrary<String> ids = Arbitraries.strings().alpha().numeric().ofMaxLength(8);
    Arbitrary<String> data =
        Arbitraries.strings().withChars("ab:{} \"é€").ofMinLength(1).ofMaxLength(40);
    return Combinators.combine(ids, data).as(TextEvent::new).list().ofMaxSize(12);
  }

  /** An event as text. */
  private record TextEvent(String id, String data) {
    private String encoded() {
      String identifier = id.isEmpty() ? "" : "id: " + id + "\n";
      return identifier + "data: " + data + "\n\n";
    }
  }
}
