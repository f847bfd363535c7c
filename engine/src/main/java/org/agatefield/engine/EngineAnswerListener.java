package org.agatefield.engine;

import org.agatefield.model.AgatefieldException;

/**
 * Receives the response of a generation, one call at a time.
 *
 * <p>Invariant: {@link #head} is followed by any number of {@link #part} and then exactly one of
 * {@link #ended} and {@link #failed}; {@link #failed} may also be the first call. Parts of other
 * attempts are never delivered. A response that is not a stream is delivered as one part, after it
 * was completely checked.
 */
public interface EngineAnswerListener {
  /** Called when the engine has accepted the request and starts a response of a content type. */
  void head(String contentType);

  /** Called for each complete part of the response. */
  void part(EngineAnswerPart part);

  /** Called when the response is complete, including its end marker. */
  void ended();

  /** Called if the response is incomplete; {@code failure} has the request's run state. */
  void failed(AgatefieldException failure);
}
