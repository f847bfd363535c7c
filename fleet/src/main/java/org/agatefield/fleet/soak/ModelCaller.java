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
 * Simulates a partner that sends streaming requests to models and retries failed ones immediately.
 * Checks each response with an end marker against the prompt and the requested number of tokens.
 */
final class ModelCaller implements Runnable {
  private static final int MAX_ATTEMPTS = 5;
  private static final int MAX_TOKENS = 40;
  private static final int ADAPTER_PERCENT = 30;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(40);
  private static final String DEADLINE_MILLISECONDS = "15000";
  private static final String DATA_PREFIX = "data:";
  private static final String END_MARKER = "[DONE]";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final LocalFleet fleet;
  private final UniformRandomProvider random;
  private final EntryChoice entries;
  private final SoakCounts counts;
  private final Violations violations;
  private final BooleanSupplier running;
  private final String name;
  private long nextPromptNumber;

  ModelCaller(
      LocalFleet fleet,
      UniformRandomProvider random,
      SoakCounts counts,
      Violations violations,
      BooleanSupplier running,
      String name) {
    this.fleet = fleet;
    this.random = random;
    this.entries = new EntryChoice(fleet, random);
    this.counts = counts;
    this.violations = violations;
    this.running = running;
    this.name = name;
  }

  @Override
  public void run() {
    while (running.getAsBoolean()) {
      String prompt = name + " asks " + nextPromptNumber++;
      String model = drawModel();
      int tokens = random.nextInt(1, MAX_TOKENS + 1);
      boolean answered = false;
      for (int attempt = 0; attempt < MAX_ATTEMPTS && !answered; attempt++) {
        answered = send(entries.next(), model, prompt, tokens);
      }
    }
  }

  private String drawModel() {
    var models = fleet.plan().models();
    FleetPlan.Model model = models.get(random.nextInt(models.size()));
    boolean useAdapter = random.nextInt(100) < ADAPTER_PERCENT;
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
              CALL_TIMEOUT);
    } catch (FleetException exception) {
      entries.forget();
      return false;
    }
    if (answer.status() != 200 || !answer.text().contains(END_MARKER)) {
      checkEndsWithError(answer, prompt);
      return false;
    }
    checkComplete(answer, model, prompt, tokens);
    counts.wholeAnswers.increment();
    return true;
  }

  private void checkEndsWithError(FleetHttp.Answer answer, String prompt) {
    if (answer.status() == 200 && !answer.text().contains("\"error\"")) {
      violations.add(
          "truncated response without an error: prompt=" + prompt + " " + describe(answer));
    }
  }

  private void checkComplete(FleetHttp.Answer answer, String model, String prompt, int tokens) {
    StringBuilder text = new StringBuilder();
    String checksum = "";
    int chunks = 0;
    for (String line : answer.text().split("\n")) {
      if (!line.startsWith(DATA_PREFIX) || line.contains(END_MARKER)) {
        continue;
      }
      JsonNode chunk = parse(line.substring(DATA_PREFIX.length()));
      String content = chunk.at("/choices/0/delta/content").asText("");
      text.append(content);
      chunks += content.isEmpty() ? 0 : 1;
      checksum = chunk.path("checksum").asText(checksum);
    }
    String expected = TokenSequence.checksum(prompt + "\n", text.toString());
    if (chunks != tokens || !checksum.equals(expected)) {
      violations.add(
          "response incomplete or of another request: model=%s prompt=%s tokens=%d parts=%d %s"
              .formatted(model, prompt, tokens, chunks, describe(answer)));
    }
  }

  private static JsonNode parse(String data) {
    try {
      return MAPPER.readTree(data);
    } catch (JsonProcessingException exception) {
      return MAPPER.createObjectNode();
    }
  }

  private static String describe(FleetHttp.Answer answer) {
    return "headers=" + answer.headers() + " answer=" + answer.text().replace('\n', ' ');
  }
}
