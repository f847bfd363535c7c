package org.agatefield.engine;

/** The rules that an answer must keep to be delivered as whole; tests switch single ones off. */
enum AnswerRule {
  /** Everything that comes back names the attempt that it answers. */
  ATTEMPT_IDENTIFIER,
  /** A stream is whole only with a finish reason and then its end marker. */
  END_MARKER
}
