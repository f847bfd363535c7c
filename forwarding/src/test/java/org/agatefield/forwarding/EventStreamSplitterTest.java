package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class EventStreamSplitterTest {
  @Provide
  Arbitrary<List<Integer>> pieces() {
    return Arbitraries.integers().between(1, 7).list().ofMinSize(1).ofMaxSize(60);
  }

  @Provide
  Arbitrary<String> streams() {
    return Arbitraries.strings().withChars("a:id\r\n ").ofMaxLength(120);
  }

  @Property(tries = 2_000, seed = "815")
  void eventsAndRemainderEqualTheInputHoweverItIsSplit(
      @ForAll("streams") String stream, @ForAll("pieces") List<Integer> pieces) {
    byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
    EventStreamSplitter splitter = new EventStreamSplitter();
    ByteArrayOutputStream returned = new ByteArrayOutputStream();
    int from = 0;
    int index = 0;
    while (from < bytes.length) {
      int to = Math.min(bytes.length, from + pieces.get(index++ % pieces.size()));
      splitter
          .feed(java.util.Arrays.copyOfRange(bytes, from, to))
          .forEach(event -> returned.writeBytes(event.bytes()));
      from = to;
    }
    returned.writeBytes(splitter.remainder());
    assertArrayEquals(bytes, returned.toByteArray());
  }

  @Property(tries = 500, seed = "816")
  void sameEventsAreReturnedHoweverTheStreamIsSplit(@ForAll("pieces") List<Integer> pieces) {
    byte[] bytes = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n".getBytes();
    EventStreamSplitter splitter = new EventStreamSplitter();
    List<Optional<String>> identifiers = new ArrayList<>();
    int from = 0;
    int index = 0;
    while (from < bytes.length) {
      int to = Math.min(bytes.length, from + pieces.get(index++ % pieces.size()));
      splitter
          .feed(java.util.Arrays.copyOfRange(bytes, from, to))
          .forEach(event -> identifiers.add(event.id()));
      from = to;
    }
    assertEquals(List.of(Optional.of("1"), Optional.of("2"), Optional.empty()), identifiers);
  }

  @Test
  void incompleteEventStaysInTheRemainder() {
    EventStreamSplitter splitter = new EventStreamSplitter();
    assertEquals(1, splitter.feed("id: 1\n\nid: 2\nda".getBytes()).size());
    assertEquals("id: 2\nda", new String(splitter.remainder(), StandardCharsets.UTF_8));
  }

  /** Guards against an event for each empty line of a runner that sends them without end. */
  @Test
  void commentsAndEmptyLinesThatAreFedTogetherAreOneEvent() {
    EventStreamSplitter splitter = new EventStreamSplitter();
    List<EventStreamSplitter.Event> events =
        splitter.feed("\n\n: a\n\n\n\nid: 1\ndata: b\n\n\n\n:c\n\n".getBytes());
    assertEquals(List.of(true, false, true), events.stream().map(each -> each.empty()).toList());
    assertEquals(0, splitter.remainingBytes());
  }
}
