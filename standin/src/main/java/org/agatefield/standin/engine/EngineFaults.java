package org.agatefield.standin.engine;

/**
 * The faults that a stand-in engine injects; 0 or false disables a fault. Immutable.
 *
 * @param refuse rejects generations with status 503
 * @param resetAfterTokens closes the connection after this many tokens
 * @param stallAfterTokens sends nothing more after this many tokens
 * @param endWithoutDoneAfterTokens ends the stream without the end marker after this many tokens
 * @param crossAnswers answers a request with the tokens of another request
 * @param slow number of batch steps per token
 * @param lagLoadReportMilliseconds how long a load report is reused, in milliseconds
 * @param delayOrdersMilliseconds delay before an order is executed, in milliseconds
 * @param loseOrderAnswers executes orders and resets the connection instead of answering
 * @param duplicateOrders executes each order twice
 * @param generations number of generations that the generation faults apply to; 0 for all
 */
public record EngineFaults(
    boolean refuse,
    int resetAfterTokens,
    int stallAfterTokens,
    int endWithoutDoneAfterTokens,
    boolean crossAnswers,
    int slow,
    long lagLoadReportMilliseconds,
    long delayOrdersMilliseconds,
    boolean loseOrderAnswers,
    boolean duplicateOrders,
    int generations) {

  /** Injects no faults. */
  public static final EngineFaults NONE =
      new EngineFaults(false, 0, 0, 0, false, 0, 0, 0, false, false, 0);
}
