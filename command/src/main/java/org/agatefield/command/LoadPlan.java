package org.agatefield.command;

import java.time.Duration;

/**
 * The load to generate. Immutable.
 *
 * @param model the deployment or adapter
 * @param requestsPerSecond number of requests started per second
 * @param warmUp duration of the warm-up, whose requests are not reported
 * @param duration duration of the measurement after the warm-up
 * @param maximumTokens maximum number of tokens of each answer
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
