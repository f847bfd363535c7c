package org.agatefield.standin.engine;

import io.vertx.core.http.HttpServerResponse;

/** A generation in the engine's batch or queue. Confined to the event loop of the engine. */
final class RunningRequest {
  final String requestId;
  final GenerationMessage message;
  final TokenSequence tokens;
  final HttpServerResponse response;
  final boolean faulty;
  int nextToken;
  int prefillSteps;
  boolean started;
  boolean ended;

  RunningRequest(
      String requestId,
      GenerationMessage message,
      HttpServerResponse response,
      int prefillSteps,
      boolean faulty) {
    this.requestId = requestId;
    this.message = message;
    this.response = response;
    this.prefillSteps = prefillSteps;
    this.faulty = faulty;
    this.tokens = TokenSequence.of(message.model(), message.prompt(), message.maximumTokens());
    this.nextToken = message.firstToken();
  }

  boolean isComplete() {
    return nextToken >= tokens.length();
  }
}
