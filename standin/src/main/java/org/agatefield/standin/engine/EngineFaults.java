package org.agatefield.standin.engine;

/**
 * The faults that a stand-in engine has been told to show; everything 0 or false is no fault.
 * Immutable.
 *
 * @param refuse answers generations with status 503
 * @param resetAfterTokens closes the connection after that many tokens
 * @param stallAfterTokens sends nothing more after that many tokens
 * @param endWithoutDoneAfterTokens ends the stream in good order after that many tokens
 * @param crossAnswers sends the answer of one request to another
 * @param slow makes each token take that many steps
 * @param lagLoadReportMilliseconds how old load reports are
 * @param delayOrdersMilliseconds how long orders wait before they are carried out
 * @param loseOrderAnswers carries orders out and closes the connection in place of an answer
 * @param duplicateOrders carries each order out twice
 * @param generations how many generations the faults of generations apply to; 0 for all
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

  /** The engine without faults. */
  public static final EngineFaults NONE =
      new EngineFaults(false, 0, 0, 0, false, 0, 0, 0, false, false, 0);
}
