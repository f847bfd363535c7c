package org.agatefield.command;

import java.time.Duration;

/**
 * What the load generator sends. Immutable.
 *
 * @param model the deployment or adapter
 * @param requestsPerSecond how many requests start each second
 * @param duration how long requests are started
 * @param maximumTokens the most tokens of each answer
 */
record LoadPlan(String model, int requestsPerSecond, Duration duration, int maximumTokens) {
  String body() {
    return "{\"model\":\""
        + model
        + "\",\"stream\":true,\"max_tokens\":"
        + maximumTokens
        + ",\"messages\":[{\"role\":\"user\",\"content\":\"load\"}]}";
  }
}
