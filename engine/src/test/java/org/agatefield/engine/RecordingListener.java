package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.agatefield.model.AgatefieldException;

/** Records a response and checks that the listener is not called after its end. */
final class RecordingListener implements EngineAnswerListener {
  final CompletableFuture<String> end = new CompletableFuture<>();
  private final List<Buffer> parts = new ArrayList<>();
  private int tokens;

  synchronized int partCount() {
    return parts.size();
  }

  synchronized int tokens() {
    return tokens;
  }

  synchronized List<Buffer> parts() {
    return List.copyOf(parts);
  }

  /** Returns the outcome: {@code whole} or the kind and run state of the failure. */
  String outcome() {
    return end.join();
  }

  @Override
  public void head(String contentType) {
    checkNotEnded();
  }

  @Override
  public synchronized void part(EngineAnswerPart part) {
    checkNotEnded();
    parts.add(part.data());
    tokens = part.tokens();
  }

  @Override
  public void ended() {
    checkNotEnded();
    end.complete("whole");
  }

  @Override
  public void failed(AgatefieldException failure) {
    checkNotEnded();
    end.complete(failure.kind() + " " + failure.runState());
  }

  private void checkNotEnded() {
    if (end.isDone()) {
      end.obtrudeValue("called after the end");
    }
  }
}
