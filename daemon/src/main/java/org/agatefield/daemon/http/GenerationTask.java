package org.agatefield.daemon.http;

import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.engine.EngineRequest;
import org.agatefield.model.Priority;

/**
 * What a caller wants of a model, and on what terms. Immutable.
 *
 * @param terms the terms
 * @param priority the terms' priority, limited by the deployment's
 * @param path {@code /v1/chat/completions} or {@code /v1/completions}
 * @param body the checked body
 */
record GenerationTask(
    RequestAttributes terms, Priority priority, String path, GenerationBody body) {
  private static final long SEED_MASK = 0x7FFF_FFFFL;

  ModelRequest toModelRequest() {
    return new ModelRequest(
        terms.requestId(),
        terms.caller().name(),
        body.model(),
        priority,
        terms.remaining(),
        body.raw().length(),
        body.promptTokens(),
        body.maximumTokens(),
        body.prefixHashes());
  }

  EngineRequest toEngineRequest(Dispatch dispatch, int firstToken) {
    String version = dispatch.version().orElseThrow().engineName();
    String engineModel = dispatch.adapter().map(name -> version + ":" + name).orElse(version);
    String attemptIdentifier = terms.requestId() + "." + dispatch.attemptNumber();
    return new EngineRequest(
        path,
        body.forEngine(engineModel, firstToken, seed(), enginePriority()),
        attemptIdentifier,
        firstToken);
  }

  private long seed() {
    return terms.requestId().hashCode() & SEED_MASK;
  }

  private int enginePriority() {
    return Priority.values().length - 1 - priority.ordinal();
  }
}
