package org.agatefield.model;

/**
 * Classifies HTTP statuses, which an upstream in trouble may choose at will.
 *
 * <p>Stateless.
 */
public final class HttpStatus {
  private static final int FIRST_FINAL = 200; // RFC 9110, section 15: 1xx are interim responses.
  private static final int LAST = 599;

  private HttpStatus() {}

  /** Returns whether a response with this status is an answer to a request. */
  public static boolean isAnswer(int status) {
    return status >= FIRST_FINAL && status <= LAST;
  }
}
