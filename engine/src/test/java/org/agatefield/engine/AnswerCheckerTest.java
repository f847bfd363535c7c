package org.agatefield.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.agatefield.model.AgatefieldException;

/** Requirement REQ-WHOLE-ANSWER: responses delivered as complete are complete and not crossed. */
class AnswerCheckerTest {
  private static final Set<AnswerRule> ALL_RULES = EnumSet.allOf(AnswerRule.class);
  private static final Set<AnswerRule> NO_RULES = EnumSet.noneOf(AnswerRule.class);

  @Property(tries = 300, seed = "42")
  void streamTruncatedAtAnyByteIsIncomplete(
      @ForAll @IntRange(min = 1, max = 12) int tokens, @ForAll @IntRange(max = 5_000) int at) {
    byte[] stream = stream("a", tokens).getBytes();
    int cut = at % stream.length;
    assertEquals(false, isWhole(Buffer.buffer().appendBytes(stream, 0, cut), ALL_RULES));
    assertEquals(true, isWhole(Buffer.buffer(stream), ALL_RULES));
  }

  @Example
  void everyTruncatedStreamIsAcceptedWithoutEndMarkerRule() {
    byte[] stream = stream("a", 5).getBytes();
    int wrong = 0;
    for (int cut = 0; cut < stream.length; cut++) {
      if (isWhole(Buffer.buffer().appendBytes(stream, 0, cut), NO_RULES)) {
        wrong++;
      }
    }
    assertEquals(stream.length, wrong);
  }

  @Property(tries = 500, seed = "44")
  void partsOfOtherAttemptsAreNotDelivered(
      @ForAll @Size(min = 1, max = 20) List<@IntRange(max = 3) Integer> attempts) {
    List<String> delivered = deliver(attempts, ALL_RULES);
    assertTrue(delivered.stream().allMatch(text -> text.startsWith("a3-")), delivered::toString);
  }

  @Example
  void partsOfOtherAttemptsAreDeliveredWithoutIdentifierRule() {
    List<String> delivered = deliver(List.of(3, 2, 3, 1), NO_RULES);
    assertEquals(List.of("a3-0", "a2-1", "a3-2", "a1-3"), delivered);
    assertEquals(List.of("a3-0"), deliver(List.of(3, 2, 3, 1), ALL_RULES));
  }

  @Example
  void partWithoutAttemptIdentifierIsRejected() {
    AnswerChecker checker = new AnswerChecker("a", 0, ALL_RULES);
    Buffer data = Buffer.buffer("{\"choices\":[]}");
    assertEquals("UPSTREAM_ANSWER_CUT", kindOf(() -> checker.event(event("", data))));
  }

  @Example
  void eventAfterEndMarkerAndErrorInStreamAreRejected() {
    AnswerChecker ended = new AnswerChecker("a", 0, ALL_RULES);
    ended.event(event("", Buffer.buffer("[DONE]")));
    assertEquals("UPSTREAM_ANSWER_CUT", kindOf(() -> ended.event(token("a", "late", 1))));
    AnswerChecker checker = new AnswerChecker("a", 0, ALL_RULES);
    Buffer error = Buffer.buffer("{\"id\":\"cmpl-a\",\"error\":{\"message\":\"x\"}}");
    assertEquals("UPSTREAM_ANSWER_CUT", kindOf(() -> checker.event(event("", error))));
  }

  @Example
  void responseIsAcceptedOnlyWithAllItsBytes() {
    String whole =
        "{\"id\":\"cmpl-a\",\"model\":\"m@1\",\"choices\":[{\"text\":\"w\","
            + "\"finish_reason\":\"length\"}]}";
    int accepted = 0;
    for (int length = 0; length <= whole.length(); length++) {
      Buffer body = Buffer.buffer(whole.substring(0, length));
      AnswerChecker checker = new AnswerChecker("a", 0, ALL_RULES);
      accepted += kindOf(() -> checker.whole(body)).isEmpty() ? 1 : 0;
    }
    assertEquals(1, accepted);
    Buffer other = Buffer.buffer(whole.replace("cmpl-a", "cmpl-b"));
    AnswerChecker checker = new AnswerChecker("a", 0, ALL_RULES);
    assertEquals("UPSTREAM_ANSWER_CUT", kindOf(() -> checker.whole(other)));
    assertTrue(checker.isCrossed());
  }

  @Property(tries = 300, seed = "45")
  void onlyIdentifierAndModelAreReplaced(
      @ForAll String text, @ForAll boolean modelFirst, @ForAll boolean spaced) {
    String space = spaced ? " " : "";
    String content = Json.encode(text);
    String rest = "\"choices\":[{\"text\":" + content + ",\"finish_reason\":null}]}";
    String ids = "\"id\":" + space + "\"cmpl-a\"," + space;
    String models = "\"model\":" + space + "\"m@1\"," + space;
    String data = "{" + (modelFirst ? models + ids : ids + models) + rest;
    AnswerChecker checker = new AnswerChecker("a", 0, ALL_RULES);
    EngineAnswerPart part = checker.event(event("", Buffer.buffer(data))).orElseThrow();
    String renamed = part.renamed(Buffer.buffer("\"own\""), Buffer.buffer("\"asked\"")).toString();
    assertEquals(data.replace("\"cmpl-a\"", "\"own\"").replace("\"m@1\"", "\"asked\""), renamed);
  }

  private static List<String> deliver(List<Integer> attempts, Set<AnswerRule> rules) {
    AnswerChecker checker = new AnswerChecker("a3", 0, rules);
    List<String> delivered = new ArrayList<>();
    try {
      for (int position = 0; position < attempts.size(); position++) {
        String attempt = "a" + attempts.get(position);
        Optional<EngineAnswerPart> part =
            checker.event(token(attempt, attempt + "-" + position, position + 1));
        part.ifPresent(each -> delivered.add(textOf(each)));
      }
    } catch (AgatefieldException failure) {
      return delivered;
    }
    return delivered;
  }

  private static String textOf(EngineAnswerPart part) {
    return new JsonObject(part.data()).getJsonArray("choices").getJsonObject(0).getString("text");
  }

  private static boolean isWhole(Buffer bytes, Set<AnswerRule> rules) {
    AnswerChecker checker = new AnswerChecker("a", 0, rules);
    EventParser parser = new EventParser(10_000, checker::event);
    parser.accept(bytes);
    return checker.isWhole();
  }

  private static String stream(String attempt, int tokens) {
    StringBuilder stream = new StringBuilder();
    for (int position = 1; position <= tokens; position++) {
      ServerSentEvent event = token(attempt, "w" + position, position);
      stream.append("id: ").append(event.id()).append("\ndata: ").append(event.data());
      stream.append("\n\n");
    }
    String finish = "{\"id\":\"cmpl-" + attempt + "\",\"choices\":[{\"finish_reason\":\"stop\"}]}";
    return stream + "data: " + finish + "\n\ndata: [DONE]\n\n";
  }

  private static ServerSentEvent token(String attempt, String text, int position) {
    String data =
        "{\"id\":\"cmpl-"
            + attempt
            + "\",\"model\":\"m@1\",\"choices\":[{\"text\":\""
            + text
            + "\",\"finish_reason\":null}]}";
    return event(attempt + "/" + position, Buffer.buffer(data));
  }

  private static ServerSentEvent event(String id, Buffer data) {
    return new ServerSentEvent(id, data);
  }

  private static String kindOf(Runnable action) {
    try {
      action.run();
      return "";
    } catch (AgatefieldException failure) {
      return failure.kind().name();
    }
  }
}
