package org.agatefield.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import org.agatefield.engine.EngineAnswerPart;
import org.agatefield.model.AgatefieldException;

/** An answer that is written in one piece after it was checked whole. */
final class BufferedAnswer implements CallerAnswer {
  private final HttpServerResponse response;
  private final AnswerIdentity identity;
  private EngineAnswerPart completeAnswer;

  BufferedAnswer(HttpServerResponse response, AnswerIdentity identity) {
    this.response = response;
    this.identity = identity;
  }

  @Override
  public void accept(EngineAnswerPart part) {
    completeAnswer = part;
  }

  @Override
  public void attemptFailed() {
    completeAnswer = null;
  }

  @Override
  public int writtenTokens() {
    return 0;
  }

  @Override
  public boolean isFull() {
    return false;
  }

  @Override
  public void onDrained(Runnable action) {
    action.run();
  }

  @Override
  public Future<Void> succeed() {
    response.putHeader("content-type", "application/json");
    return response.end(completeAnswer.renamed(identity.id(), identity.model()));
  }

  @Override
  public Future<Void> fail(AgatefieldException failure) {
    return ErrorAnswer.send(response, failure);
  }
}
