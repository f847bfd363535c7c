package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/**
 * Decides which parts of an engine's response are delivered and whether the response is complete.
 *
 * <p>Invariants: a part that carries the identifier of another attempt is never returned; {@link
 * #isWhole()} is true only after a finish reason and the end marker, and nothing is returned after
 * the end marker. Not safe for use by several threads.
 */
final class AnswerChecker {
  private static final String END_MARKER = "[DONE]";
  private static final char TOKENS_SEPARATOR = '/';

  private final String attemptIdentifier;
  private final Set<AnswerRule> rules;
  private int tokens;
  private boolean finished;
  private boolean endMarker;
  private boolean crossed;

  /**
   * Creates a checker for one response.
   *
   * @param firstToken the number of tokens that earlier attempts delivered
   */
  AnswerChecker(String attemptIdentifier, int firstToken, Set<AnswerRule> rules) {
    this.attemptIdentifier = attemptIdentifier;
    this.tokens = firstToken;
    this.rules = rules;
  }

  /** Checks the response header that identifies the attempt. */
  void head(String requestIdHeader) {
    if (!attemptIdentifier.equals(requestIdHeader)) {
      rejectCrossed("response header identifies request '" + requestIdHeader + "'");
    }
  }

  /** Returns the part to deliver for an event; empty for the end marker. */
  Optional<EngineAnswerPart> event(ServerSentEvent event) {
    if (endMarker) {
      throw cut("event received after the end marker");
    }
    String name = event.id();
    int separator = name.lastIndexOf(TOKENS_SEPARATOR);
    if (isEndMarker(event.data())) {
      endMarker = true;
      return Optional.empty();
    }
    AnswerScanner scanner = scan(event.data());
    String eventAttempt = separator < 0 ? name : name.substring(0, separator);
    checkAttempt(eventAttempt, scanner);
    countTokens(separator < 0 ? "" : name.substring(separator + 1), scanner);
    finished |= scanner.finished();
    return Optional.of(part(event.data(), scanner));
  }

  /** Returns the only part of a response that is not a stream. */
  EngineAnswerPart whole(Buffer body) {
    AnswerScanner scanner = scan(body);
    checkAttempt("", scanner);
    if (!scanner.finished()) {
      throw cut("response has no finish reason");
    }
    finished = true;
    endMarker = true;
    return part(body, scanner);
  }

  /** Returns whether the stream is complete if it ends now. */
  boolean isWhole() {
    return !rules.contains(AnswerRule.END_MARKER) || (finished && endMarker);
  }

  /** Returns whether data with the identifier of another attempt was received. */
  boolean isCrossed() {
    return crossed;
  }

  private static boolean isEndMarker(Buffer data) {
    return data.length() == END_MARKER.length() && END_MARKER.equals(data.toString());
  }

  private static AnswerScanner scan(Buffer data) {
    AnswerScanner scanner;
    try {
      scanner = AnswerScanner.scan(data);
    } catch (IOException exception) {
      throw cut("response is not valid JSON: " + exception.getMessage());
    }
    if (scanner.hasError()) {
      throw cut("response ended with an error of the engine: " + data);
    }
    return scanner;
  }

  private void checkAttempt(String eventId, AnswerScanner scanner) {
    boolean matched =
        matchesAttempt(eventId)
            || matchesAttempt(scanner.requestId())
            || endsWithAttempt(scanner.idText());
    boolean mismatched = mismatches(eventId) || mismatches(scanner.requestId());
    if (mismatched || !matched) {
      rejectCrossed(
          "part of the response identifies '" + eventId + "', '" + scanner.idText() + "'");
    }
  }

  private boolean matchesAttempt(String name) {
    return attemptIdentifier.equals(name);
  }

  private boolean mismatches(String name) {
    return !name.isEmpty() && !matchesAttempt(name);
  }

  private boolean endsWithAttempt(String identifier) {
    return identifier.endsWith(attemptIdentifier);
  }

  private void rejectCrossed(String what) {
    crossed = true;
    if (rules.contains(AnswerRule.ATTEMPT_IDENTIFIER)) {
      throw cut(what + " instead of " + attemptIdentifier);
    }
  }

  private void countTokens(String position, AnswerScanner scanner) {
    if (!position.isEmpty()) {
      try {
        tokens = Integer.parseInt(position);
      } catch (NumberFormatException exception) {
        throw cut("token position '" + position + "' is not a number");
      }
    } else if (scanner.hasContent()) {
      tokens++;
    }
  }

  private EngineAnswerPart part(Buffer data, AnswerScanner scanner) {
    return new EngineAnswerPart(data, scanner.id(), scanner.model(), tokens, scanner.finished());
  }

  private static AgatefieldException cut(String message) {
    return new AgatefieldException(ErrorKind.UPSTREAM_ANSWER_CUT, message);
  }
}
