package org.agatefield.daemon.http;

import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.engine.EngineRequest;
import org.agatefield.model.Priority;

/**
 * A caller's request to a model, with its attributes and effective priority. Immutable.
 *
 * @param attributes identifier, caller and deadline of the request
 * @param priority the priority of the request, limited by that of the deployment
 * @param path {@code /v1/chat/completions} or {@code /v1/completions}
 * @param body the validated body
 */
record GenerationTask(
    RequestAttributes attributes, Priority priority, String path, GenerationBody body) {
  private static final long SEED_MASK = 0x7FFF_FFFFL;

  ModelRequest toModelRequest() {
    return new ModelRequest(
        attributes.requestId(),
        attributes.fingerprint("POST", path, body.raw()),
        attributes.caller().name(),
        body.model(),
        priority,
        attributes.remaining(),
        body.raw().length(),
        body.promptTokens(),
        body.maximumTokens(),
        body.prefixHashes());
  }

  EngineRequest toEngineRequest(Dispatch dispatch, int firstToken) {
    String version = dispatch.version().orElseThrow().engineName();
    String engineModel = dispatch.adapter().map(name -> version + ":" + name).orElse(version);
    String attemptIdentifier = attributes.requestId() + "." + dispatch.attemptNumber();
    return new EngineRequest(
        path,
        body.forEngine(engineModel, firstToken, seed(), enginePriority()),
        attemptIdentifier,
        firstToken);
  }

  private long seed() {
    return attributes.requestId().hashCode() & SEED_MASK;
  }

  private int enginePriority() {
    return Priority.values().length - 1 - priority.ordinal();
  }
}
