package org.agatefield.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Builds the bodies of model requests. Stateless. */
public final class ModelRequests {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ModelRequests() {}

  /** Returns the JSON body of a chat completion request. */
  public static String chat(String model, String prompt, int maximumTokens, boolean streamed) {
    ObjectNode request = MAPPER.createObjectNode();
    request.put("model", model);
    request.put("stream", streamed);
    request.put("max_tokens", maximumTokens);
    request.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return request.toString();
  }
}
