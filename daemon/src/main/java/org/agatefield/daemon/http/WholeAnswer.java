package org.agatefield.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import org.agatefield.engine.EngineAnswerPart;
import org.agatefield.model.AgatefieldException;

/** An answer that is written in one piece after it was checked whole. */
final class WholeAnswer implements CallerAnswer {
  private final HttpServerResponse response;
  private final AnswerNames names;
  private EngineAnswerPart whole;

  WholeAnswer(HttpServerResponse response, AnswerNames names) {
    this.response = response;
    this.names = names;
  }

  @Override
  public void part(EngineAnswerPart part) {
    whole = part;
  }

  @Override
  public void attemptFailed() {
    whole = null;
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
    return response.end(whole.renamed(names.id(), names.model()));
  }

  @Override
  public Future<Void> fail(AgatefieldException failure) {
    return ErrorAnswer.send(response, failure);
  }
}
