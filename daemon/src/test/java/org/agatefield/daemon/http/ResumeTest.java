package org.agatefield.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.agatefield.model.Address;
import org.agatefield.standin.engine.TokenSequence;

/**
 * Requirement REQ-WHOLE-ANSWER: the caller reads each token once, however often the stream is
 * interrupted.
 */
class ResumeTest {
  private static final int ENGINES = 4;
  private static final int TOKENS = 24;
  private static CallerApiHarness harness;
  private static final List<Address> engines = new ArrayList<>();

  @BeforeContainer
  static void start() {
    harness = new CallerApiHarness();
    harness.dispatcher.allowRetries(Integer.MAX_VALUE);
    for (int number = 0; number < ENGINES; number++) {
      engines.add(harness.startEngine(1));
    }
  }

  @AfterContainer
  static void close() {
    harness.close();
  }

  @Property(tries = 40, seed = "42")
  void deliversTheSameTokensAsAnUninterruptedStream(
      @ForAll @Size(ENGINES) List<@IntRange(min = 1, max = TOKENS) Integer> cuts,
      @ForAll @Size(ENGINES) List<Boolean> endsCleanly,
      @ForAll boolean chat,
      @ForAll @IntRange(max = 1_000_000) int number) {
    for (int engine = 0; engine < ENGINES; engine++) {
      String fault = endsCleanly.get(engine) ? "endWithoutDoneAfterTokens" : "resetAfterTokens";
      harness.post(
          engines.get(engine),
          "/faults",
          "{\"" + fault + "\":" + cuts.get(engine) + ",\"generations\":1}");
    }
    String prompt = "prompt-" + number;
    StreamText answer = StreamText.read(sendRequest(prompt, chat));
    String engineInput = chat ? prompt + "\n" : prompt;
    String text = TokenSequence.of("quotes@v1", engineInput, TOKENS).text();
    StreamText expected =
        new StreamText(
            text, TokenSequence.checksum(engineInput, text), List.of("quotes"), "", true);
    assertEquals(expected, answer);
  }

  private static String sendRequest(String prompt, boolean chat) {
    String content =
        chat
            ? "\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]"
            : "\"prompt\":\"" + prompt + "\"";
    String body =
        "{\"model\":\"quotes\"," + content + ",\"max_tokens\":" + TOKENS + ",\"stream\":true}";
    String path = chat ? "/v1/chat/completions" : "/v1/completions";
    return harness.post(harness.address, path, body).body();
  }
}
