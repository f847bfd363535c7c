package org.agatefield.fleet.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.agatefield.fleet.FleetException;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.fleet.ModelRequests;
import org.agatefield.model.Address;
import org.agatefield.standin.engine.TokenSequence;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A partner that sends streamed requests and repeats a failed one at once. Each answer that claims
 * to be whole is checked against the prompt.
 */
final class ModelCaller implements Runnable {
  private static final int TRIES = 5;
  private static final int MOST_TOKENS = 40;
  private static final int ADAPTER_SHARE_PERCENT = 30;
  private static final Duration CALL_LIMIT = Duration.ofSeconds(40);
  private static final String DEADLINE_MILLISECONDS = "15000";
  private static final String DATA = "data:";
  private static final String END_MARKER = "[DONE]";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final LocalFleet fleet;
  private final UniformRandomProvider random;
  private final EntryChoice entries;
  private final SoakCounts counts;
  private final Violations violations;
  private final BooleanSupplier goOn;
  private final String name;
  private long number;

  ModelCaller(
      LocalFleet fleet,
      UniformRandomProvider random,
      SoakCounts counts,
      Violations violations,
      BooleanSupplier goOn,
      String name) {
    this.fleet = fleet;
    this.random = random;
    this.entries = new EntryChoice(fleet, random);
    this.counts = counts;
    this.violations = violations;
    this.goOn = goOn;
    this.name = name;
  }

  @Override
  public void run() {
    while (goOn.getAsBoolean()) {
      String prompt = name + " asks " + number++;
      String model = drawModel();
      int tokens = random.nextInt(1, MOST_TOKENS + 1);
      boolean answered = false;
      for (int attempt = 0; attempt < TRIES && !answered; attempt++) {
        answered = send(entries.next(), model, prompt, tokens);
      }
    }
  }

  private String drawModel() {
    var models = fleet.plan().models();
    FleetPlan.Model model = models.get(random.nextInt(models.size()));
    boolean useAdapter = random.nextInt(100) < ADAPTER_SHARE_PERCENT;
    if (useAdapter && !model.adapters().isEmpty()) {
      return model.adapters().get(random.nextInt(model.adapters().size()));
    }
    return model.name();
  }

  private boolean send(Address entry, String model, String prompt, int tokens) {
    counts.requests.increment();
    FleetHttp.Answer answer;
    try {
      answer =
          FleetHttp.await(
              fleet
                  .http()
                  .send(
                      HttpMethod.POST,
                      entry,
                      "/v1/chat/completions",
                      Map.of(
                          "Content-Type",
                          "application/json",
                          "X-Request-Deadline-Ms",
                          DEADLINE_MILLISECONDS),
                      ModelRequests.chat(model, prompt, tokens, true)),
              CALL_LIMIT);
    } catch (FleetException exception) {
      entries.forget();
      return false;
    }
    if (answer.status() != 200 || !answer.text().contains(END_MARKER)) {
      checkEndsWithAnError(answer, prompt);
      return false;
    }
    checkWhole(answer, model, prompt, tokens);
    counts.wholeAnswers.increment();
    return true;
  }

  private void checkEndsWithAnError(FleetHttp.Answer answer, String prompt) {
    if (answer.status() == 200 && !answer.text().contains("\"error\"")) {
      violations.add("short answer without an error: prompt=" + prompt + " " + evidence(answer));
    }
  }

  private void checkWhole(FleetHttp.Answer answer, String model, String prompt, int tokens) {
    StringBuilder text = new StringBuilder();
    String checksum = "";
    int parts = 0;
    for (String line : answer.text().split("\n")) {
      if (!line.startsWith(DATA) || line.contains(END_MARKER)) {
        continue;
      }
      JsonNode chunk = parse(line.substring(DATA.length()));
      String content = chunk.at("/choices/0/delta/content").asText("");
      text.append(content);
      parts += content.isEmpty() ? 0 : 1;
      checksum = chunk.path("checksum").asText(checksum);
    }
    String expected = TokenSequence.checksum(prompt + "\n", text.toString());
    if (parts != tokens || !checksum.equals(expected)) {
      violations.add(
          "answer is not whole or not the caller's: model=%s prompt=%s tokens=%d parts=%d %s"
              .formatted(model, prompt, tokens, parts, evidence(answer)));
    }
  }

  private static JsonNode parse(String data) {
    try {
      return MAPPER.readTree(data);
    } catch (JsonProcessingException exception) {
      return MAPPER.createObjectNode();
    }
  }

  private static String evidence(FleetHttp.Answer answer) {
    return "headers=" + answer.headers() + " answer=" + answer.text().replace('\n', ' ');
  }
}
