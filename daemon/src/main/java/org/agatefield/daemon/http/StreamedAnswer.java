package org.agatefield.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.List;
import org.agatefield.engine.EngineAnswerPart;
import org.agatefield.model.AgatefieldException;

/**
 * An answer that is written as server-sent events, each as soon as it comes.
 *
 * <p>Invariants: no token is written twice, also when a later attempt repeats some; the part with
 * the finish reason and what follows it is held back until the attempt is known to be whole.
 */
final class StreamedAnswer implements CallerAnswer {
  private static final Buffer DATA_FIELD = Buffer.buffer("data: ");
  private static final Buffer EVENT_END = Buffer.buffer("\n\n");
  private static final Buffer END_MARKER = Buffer.buffer("data: [DONE]\n\n");
  private static final Buffer ERROR_EVENT = Buffer.buffer("event: error\ndata: ");

  private final HttpServerResponse response;
  private final AnswerIdentity identity;
  private final List<EngineAnswerPart> withheldParts = new ArrayList<>();
  private boolean resumed;
  private int tokens;

  StreamedAnswer(HttpServerResponse response, AnswerIdentity identity) {
    this.response = response;
    this.identity = identity;
  }

  @Override
  public void accept(EngineAnswerPart part) {
    if (part.finished() || !withheldParts.isEmpty()) {
      withheldParts.add(part);
      return;
    }
    if (resumed && part.tokens() <= tokens) {
      return;
    }
    tokens = part.tokens();
    write(part);
  }

  @Override
  public void attemptFailed() {
    withheldParts.clear();
    resumed = response.headWritten();
  }

  @Override
  public int writtenTokens() {
    return tokens;
  }

  @Override
  public boolean isFull() {
    return response.writeQueueFull();
  }

  @Override
  public void onDrained(Runnable action) {
    response.drainHandler(ignored -> action.run());
  }

  @Override
  public Future<Void> succeed() {
    withheldParts.forEach(this::write);
    begin();
    return response.end(END_MARKER);
  }

  @Override
  public Future<Void> fail(AgatefieldException failure) {
    if (!response.headWritten()) {
      return ErrorAnswer.send(response, failure);
    }
    Buffer event =
        ERROR_EVENT.copy().appendBuffer(ErrorAnswer.body(failure)).appendBuffer(EVENT_END);
    return response.write(event).onComplete(ignored -> response.reset());
  }

  private void write(EngineAnswerPart part) {
    begin();
    Buffer data = part.renamed(identity.id(), identity.model());
    Buffer event = Buffer.buffer(DATA_FIELD.length() + data.length() + EVENT_END.length());
    response.write(event.appendBuffer(DATA_FIELD).appendBuffer(data).appendBuffer(EVENT_END));
  }

  private void begin() {
    if (!response.headWritten()) {
      response.setChunked(true);
      response.putHeader("content-type", "text/event-stream");
      response.putHeader("cache-control", "no-cache");
    }
  }
}
