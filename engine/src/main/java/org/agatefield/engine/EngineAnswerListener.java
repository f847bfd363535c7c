package org.agatefield.engine;

import org.agatefield.model.AgatefieldException;

/**
 * Receives the answer of a generation, one call at a time.
 *
 * <p>Invariant: after {@link #head}, any number of {@link #part}, then exactly one of {@link
 * #ended} and {@link #failed}; {@link #failed} may come first. Parts of another attempt never
 * arrive. An answer that is not a stream comes as one part, after it was checked whole.
 */
public interface EngineAnswerListener {
  /** The engine accepted the request and begins to answer with this content type. */
  void head(String contentType);

  /** A whole part of the answer came. */
  void part(EngineAnswerPart part);

  /** The whole answer came, with its end marker. */
  void ended();

  /** The answer is not whole; the failure says whether the engine ran the request. */
  void failed(AgatefieldException failure);
}
