package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;
import org.agatefield.model.AgatefieldException;

/**
 * Receives the answer of a generation, one call at a time.
 *
 * <p>Invariant: after {@link #head}, any number of {@link #part}, then exactly one of {@link
 * #ended} and {@link #failed}; {@link #failed} may come first. Parts of another attempt never
 * arrive.
 */
public interface EngineAnswerListener {
  /** The status and content type came. */
  void head(int status, String contentType);

  /** One whole server-sent event, or a piece of an answer that is not a stream of events. */
  void part(Buffer part);

  /** The whole answer came, with its end marker. */
  void ended();

  /** The answer is not whole; the failure says whether the engine ran the request. */
  void failed(AgatefieldException failure);
}
