package org.agatefield.daemon.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The content that a caller reads from an event stream. Immutable.
 *
 * @param text the tokens, joined
 * @param checksum the engine's checksum of the whole answer; empty if none was received
 * @param models the distinct model names in the parts
 * @param error the code of the error event; empty if there was none
 * @param done whether the end marker was received
 */
record StreamText(String text, String checksum, List<String> models, String error, boolean done) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  static StreamText read(String stream) {
    StringBuilder text = new StringBuilder();
    List<String> models = new ArrayList<>();
    String checksum = "";
    String error = "";
    boolean done = false;
    for (String line : stream.lines().filter(each -> each.startsWith("data: ")).toList()) {
      String data = line.substring("data: ".length());
      if (data.equals("[DONE]")) {
        done = true;
        continue;
      }
      JsonNode part = parse(data);
      JsonNode choice = part.path("choices").path(0);
      text.append(choice.path("delta").path("content").asText(choice.path("text").asText("")));
      checksum = part.path("checksum").asText(checksum);
      error = part.path("error").path("code").asText(error);
      if (part.has("model") && !models.contains(part.path("model").asText())) {
        models.add(part.path("model").asText());
      }
    }
    return new StreamText(text.toString(), checksum, models, error, done);
  }

  static JsonNode parse(String json) {
    try {
      return MAPPER.readTree(json);
    } catch (IOException exception) {
      throw new IllegalStateException("not JSON: " + json, exception);
    }
  }
}
