package org.agatefield.standin.service;

/**
 * The faults that a stand-in service has been told to show. Immutable.
 *
 * @param refuse answers with status 503 and executes nothing
 * @param resetBeforeExecution closes the connection and executes nothing
 * @param resetAfterExecution executes the call and closes the connection
 * @param answerLateMilliseconds time between the execution and the answer
 * @param slowMilliseconds time between the request and the execution
 * @param largeAnswerBytes bytes that are added to each answer
 * @param calls how many calls the faults apply to; 0 for all
 */
public record ServiceFaults(
    boolean refuse,
    boolean resetBeforeExecution,
    boolean resetAfterExecution,
    long answerLateMilliseconds,
    long slowMilliseconds,
    int largeAnswerBytes,
    int calls) {

  /** The service without faults. */
  public static final ServiceFaults NONE = new ServiceFaults(false, false, false, 0, 0, 0, 0);
}
