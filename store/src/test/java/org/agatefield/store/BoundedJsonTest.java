package org.agatefield.store;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.TextNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class BoundedJsonTest {
  private static final int STACK_BYTES = 262_144; // the stack of a deployed instance's threads
  private static final KubernetesDialect DIALECT = new KubernetesDialect();

  /** Contents that break the limits or are no JSON, but keep their brackets and quotes balanced. */
  static List<String> unreadableContents() {
    return List.of(
        nested("[", "]", 65),
        nested("[", "]", 1_200),
        nested("{\"a\":", "}", 100_000),
        "{\"models\":[" + nested("[", "]", 900) + "],\"state\":\"LIVE\"}",
        "{\"slots\":" + "9".repeat(2_000) + "}",
        "{\"slots\":1." + "9".repeat(2_000) + "}",
        "{\"note\":\"" + (char) 0xff + (char) 0xfe + "\"}",
        "{\"note\":\"\\x\"}",
        "{\"note\":NaN}",
        "{\"note\":}",
        "{\"note\":[1,}]",
        "{\"" + "n".repeat(60_000) + "\":1}",
        "{" + '\u0001' + "}");
  }

  private static String nested(String open, String close, int depth) {
    String innermost = open.equals("[") ? "" : "1";
    return open.repeat(depth) + innermost + close.repeat(depth);
  }

  private static String object(String name, String content) {
    return "{\"metadata\":{\"name\":\""
        + name
        + "\",\"resourceVersion\":\"7\"},\"spec\":"
        + content
        + "}";
  }

  private static Optional<ObjectPage> page(String... items) {
    String body =
        " {\"metadata\":{\"resourceVersion\":\"9\"},\"items\":[" + String.join(",", items) + "]}";
    return parse(body).flatMap(root -> DIALECT.decodePage(ObjectKind.RUNNER, root));
  }

  private static Optional<JsonNode> parse(String text) {
    return ObjectCodec.parseObjects(
        Buffer.buffer(text.getBytes(ISO_8859_1)), ContentLimits.ORDINARY);
  }

  @ParameterizedTest
  @MethodSource("unreadableContents")
  void unreadableContentIsNullAndHidesNoOtherObject(String content) {
    List<StoredObject> objects =
        page(object("a", "{\"value\":1}"), object("odd", content), object("z", "{\"value\":2}"))
            .orElseThrow()
            .objects()
            .objects();
    assertEquals(
        List.of("a", "odd", "z"), objects.stream().map(each -> each.key().name()).toList());
    assertEquals(1, objects.get(0).content().path("value").asInt());
    assertTrue(objects.get(1).content().isNull());
    assertEquals(2, objects.get(2).content().path("value").asInt());
  }

  @ParameterizedTest
  @MethodSource("unreadableContents")
  void unreadableMetadataDropsOneObjectOnly(String metadata) {
    List<StoredObject> objects =
        page("{\"metadata\":" + metadata + ",\"spec\":{}}", object("z", "{\"value\":2}"))
            .orElseThrow()
            .objects()
            .objects();
    assertEquals(List.of("z"), objects.stream().map(each -> each.key().name()).toList());
  }

  @Test
  void objectThatIsReadAloneIsMalformedIfItsContentIsUnreadable() {
    byte[] body = object("lease", nested("[", "]", 65)).getBytes(ISO_8859_1);
    assertTrue(ObjectCodec.parse(Buffer.buffer(body)).isEmpty());
  }

  @Test
  void contentWithinLimitsIsReadWhateverItsNeighboursHold() {
    String content = nested("[", "]", BoundedJson.MAXIMUM_NESTING);
    List<StoredObject> objects =
        page(object("a", content), object("odd", nested("[", "]", 65)))
            .orElseThrow()
            .objects()
            .objects();
    assertEquals(content, objects.get(0).content().toString());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{",
        "{\"items\":[}",
        "{\"items\":[\"]}",
        "{\"items\" []}",
        "{\"items\":[] 1}"
      })
  void bodyThatCannotBeSplitIsMalformed(String body) {
    assertTrue(parse(body).flatMap(root -> DIALECT.decodePage(ObjectKind.RUNNER, root)).isEmpty());
  }

  @Test
  void acceptedTreesAreWrittenCopiedAndComparedOnSmallStack() throws InterruptedException {
    AtomicReference<Throwable> failure = new AtomicReference<>();
    Thread thread = new Thread(null, BoundedJsonTest::useDeepTrees, "small-stack", STACK_BYTES);
    thread.setUncaughtExceptionHandler((failed, cause) -> failure.set(cause));
    thread.start();
    thread.join();
    assertEquals(null, failure.get());
  }

  private static void useDeepTrees() {
    for (int depth : List.of(BoundedJson.MAXIMUM_NESTING, 300, 900, 50_000)) {
      for (String content : List.of(nested("[", "]", depth), nested("{\"a\":", "}", depth))) {
        JsonNode tree =
            page(object("odd", content)).orElseThrow().objects().objects().get(0).content();
        JsonNode copy = tree.deepCopy();
        assertEquals(tree, copy);
        assertEquals(tree.hashCode(), copy.hashCode());
        assertEquals(tree.toString(), copy.toString());
        ObjectCodec.encodeNew(new ObjectKey(ObjectKind.RUNNER, "odd"), "write", tree);
      }
    }
  }

  private static Optional<ObjectPage> limitedPage(ContentLimits limits, String... items) {
    String body =
        "{\"metadata\":{\"resourceVersion\":\"9\"},\"items\":[" + String.join(",", items) + "]}";
    return ObjectCodec.parseObjects(Buffer.buffer(body), limits)
        .flatMap(root -> DIALECT.decodePage(ObjectKind.RUNNER, root));
  }

  /** Guards against trees that take many times the bytes of their text (review/7). */
  @ParameterizedTest
  @ValueSource(strings = {"{}", "[]", "1.5", "7", "\"text\"", "{\"a\":null}"})
  void contentWhoseTreeExceedsLimitsIsNullAndHidesNoOtherObject(String element) {
    ContentLimits limits = new ContentLimits(65_536, Optional.empty());
    String large = "{\"note\":[" + (element + ",").repeat(10_000) + element + "]}";
    List<StoredObject> objects =
        limitedPage(limits, object("a", "{\"value\":1}"), object("odd", large), object("z", "{}"))
            .orElseThrow()
            .objects()
            .objects();
    assertEquals("{\"value\":1}", objects.get(0).content().toString());
    assertTrue(objects.get(1).content().isNull());
    assertEquals("{}", objects.get(2).content().toString());
  }

  @Test
  void largeFieldThatIsNotReadLeavesTheOthers() {
    ContentLimits limits = ContentLimits.OF_OTHER_WRITERS.ofFields(Set.of("value"));
    String content = "{\"note\":[" + "{},".repeat(100_000) + "{}],\"value\":[1,{\"a\":2}]}";
    StoredObject read =
        limitedPage(limits, object("a", content)).orElseThrow().objects().objects().get(0);
    assertEquals("{\"value\":[1,{\"a\":2}]}", read.content().toString());
  }

  @Test
  void largeMetadataDropOneObjectOnly() {
    String large =
        "{\"metadata\":{\"name\":\"a\",\"finalizers\":[" + "{},".repeat(100_000) + "{}]}}";
    for (String neighbour : List.of("{}", "{\"note\":NaN}")) {
      List<StoredObject> objects =
          limitedPage(ContentLimits.ORDINARY, large, object("z", neighbour))
              .orElseThrow()
              .objects()
              .objects();
      assertEquals(List.of("z"), objects.stream().map(each -> each.key().name()).toList());
    }
  }

  /** Guards against many entries of another writer that hide all others together. */
  @ParameterizedTest
  @ValueSource(strings = {"{}", "[]", "1.5", "{\"a\":null}", "{\"f%d\":[]}"})
  void pageOfLimitedContentsIsRead(String element) {
    StringBuilder content = new StringBuilder("[0");
    for (int index = 0; content.length() < 1_900; index++) {
      content.append(',').append(element.formatted(index));
    }
    String[] items = Collections.nCopies(500, object("a", content + "]")).toArray(String[]::new);
    items[250] = object("sound", "{\"value\":1}");
    List<StoredObject> objects =
        limitedPage(ContentLimits.OF_OTHER_WRITERS, items).orElseThrow().objects().objects();
    assertEquals(500, objects.size());
    assertEquals("{\"value\":1}", objects.get(250).content().toString());
  }

  @Test
  void responseWhoseContentsTakeTooMuchTogetherIsRefused() {
    String content = "[" + "{},".repeat(50_000) + "{}]";
    String[] items = Collections.nCopies(8, object("a", content)).toArray(String[]::new);
    assertTooLarge(items);
    items[7] = object("odd", "{\"note\":NaN}");
    assertTooLarge(items);
  }

  private static void assertTooLarge(String... items) {
    StoreException thrown =
        assertThrows(StoreException.class, () -> limitedPage(ContentLimits.ORDINARY, items));
    assertEquals(StoreFailure.TOO_LARGE, thrown.failure());
  }

  @Property(tries = 1_000, seed = "44")
  void contentWithinLimitsEqualsTreeOfAnOrdinaryParser(@ForAll("fragments") String text)
      throws IOException {
    Optional<JsonNode> read =
        BoundedJson.parseContent(text.getBytes(ISO_8859_1), ContentLimits.ORDINARY);
    if (read.isPresent()) {
      assertEquals(new ObjectMapper().readTree(text.getBytes(ISO_8859_1)), read.get());
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"a\":[1,-2.5,1e999,9223372036854775807,9223372036854775808,true,false,null,\"t\"]}",
        "{\"a\":1,\"a\":{\"b\":[[],{}]},\"c\":\"\\u00e9\"}",
        "\"text\"",
        "3"
      })
  void contentOfEverySortEqualsTreeOfAnOrdinaryParser(String text) throws IOException {
    assertEquals(
        new ObjectMapper().readTree(text),
        BoundedJson.parseContent(text.getBytes(UTF_8), ContentLimits.ORDINARY).orElseThrow());
  }

  @Provide
  Arbitrary<String> fragments() {
    return Arbitraries.of(
            "{",
            "}",
            "[",
            "]",
            "\"",
            "\\",
            ",",
            ":",
            "1",
            "-",
            "null",
            "\"spec\":",
            "\"a\"",
            " ",
            "" + (char) 0xff)
        .list()
        .ofMaxSize(40)
        .map(parts -> String.join("", parts));
  }

  @Property(tries = 2_000, seed = "42")
  void anyBytesAreParsedOrRejectedWithoutException(@ForAll("fragments") String text) {
    parse(text);
    page(object("a", "{}"), text);
  }

  @Property(tries = 2_000, seed = "43")
  void anyContentInsideStringHidesNoOtherObject(@ForAll String text) {
    String quoted = TextNode.valueOf(text).toString();
    byte[] body =
        ("{\"metadata\":{\"resourceVersion\":\"9\"},\"items\":["
                + object("odd", "[" + quoted + "," + nested("[", "]", 70) + "]")
                + ","
                + object("z", "{}")
                + "]}")
            .getBytes(UTF_8);
    Optional<ObjectPage> page =
        ObjectCodec.parseObjects(Buffer.buffer(body), ContentLimits.ORDINARY)
            .flatMap(root -> DIALECT.decodePage(ObjectKind.RUNNER, root));
    assertFalse(page.isEmpty());
    assertEquals(2, page.get().objects().objects().size());
  }
}
