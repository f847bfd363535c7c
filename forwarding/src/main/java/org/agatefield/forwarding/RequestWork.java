package org.agatefield.forwarding;

import java.util.Optional;
import org.agatefield.cost.OutputEstimate;
import org.agatefield.cost.RequestShape;

/**
 * What a request is likely to cost, whichever runner it goes to. Immutable.
 *
 * @param paceKey identifies what it runs for its pace: a model, or a route and size of plain
 *     requests
 * @param millisecondsPerToken the pace on a runner of speed 1
 * @param prompt the parameters of a generation; empty for a plain request
 * @param parts the parts of its prompt that runners may keep; empty for a plain request
 * @param shape what is known of a generation; empty for a plain request
 * @param output the expected length of the output of a generation
 * @param memoryTokens the token memory that a generation takes in the end
 */
public record RequestWork(
    String paceKey,
    double millisecondsPerToken,
    Optional<GenerationParameters> prompt,
    Optional<SharedParts> parts,
    Optional<RequestShape> shape,
    OutputEstimate output,
    double memoryTokens) {
  /** The size in tokens as which a plain request counts. */
  static final int PLAIN_TOKENS = 1_000;

  /** Returns the work of a number of its tokens, as tokens of a model of average pace. */
  double workTokens(double tokens) {
    return tokens * millisecondsPerToken / RunnerLoads.WORK_MILLISECONDS_PER_TOKEN;
  }
}
