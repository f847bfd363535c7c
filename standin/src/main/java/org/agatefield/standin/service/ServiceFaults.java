package org.agatefield.standin.service;

/**
 * The faults that a stand-in service injects. Immutable.
 *
 * @param refuse answers with status 503 without executing the call
 * @param resetBeforeExecution resets the connection without executing the call
 * @param resetAfterExecution executes the call and resets the connection
 * @param answerLateMilliseconds time between the execution and the response
 * @param slowMilliseconds time between the request and the execution
 * @param largeAnswerBytes padding bytes added to each response
 * @param calls number of calls that the faults apply to; 0 for all
 */
public record ServiceFaults(
    boolean refuse,
    boolean resetBeforeExecution,
    boolean resetAfterExecution,
    long answerLateMilliseconds,
    long slowMilliseconds,
    int largeAnswerBytes,
    int calls) {

  /** Injects no faults. */
  public static final ServiceFaults NONE = new ServiceFaults(false, false, false, 0, 0, 0, 0);
}
