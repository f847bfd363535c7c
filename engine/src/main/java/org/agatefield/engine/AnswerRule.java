package org.agatefield.engine;

/** The rules for delivering a response as complete; tests disable single rules. */
enum AnswerRule {
  /** Every part of a response carries the identifier of its attempt. */
  ATTEMPT_IDENTIFIER,
  /** A stream is complete only after a finish reason followed by the end marker. */
  END_MARKER
}
