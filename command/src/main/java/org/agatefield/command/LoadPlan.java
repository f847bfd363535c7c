package org.agatefield.command;

import java.time.Duration;

/**
 * What the load generator sends. Immutable.
 *
 * @param model the deployment or adapter
 * @param requestsPerSecond how many requests start each second
 * @param warmUp how long requests are started at first that are not reported
 * @param duration how long requests are started after that
 * @param maximumTokens the most tokens of each answer
 */
record LoadPlan(
    String model, int requestsPerSecond, Duration warmUp, Duration duration, int maximumTokens) {
  String body() {
    return "{\"model\":\""
        + model
        + "\",\"stream\":true,\"max_tokens\":"
        + maximumTokens
        + ",\"messages\":[{\"role\":\"user\",\"content\":\"load\"}]}";
  }
}
