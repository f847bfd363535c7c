package org.agatefield.engine;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/**
 * Decides what of an answer is delivered and whether the answer is whole.
 *
 * <p>Invariants: a part that names another attempt is never given out; {@link #isWhole()} is true
 * only after a finish reason and the end marker, and nothing is given out after the end marker. Not
 * safe for use by several threads.
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
   * Creates a checker of one answer.
   *
   * @param firstToken the number of tokens that were delivered by earlier attempts
   */
  AnswerChecker(String attemptIdentifier, int firstToken, Set<AnswerRule> rules) {
    this.attemptIdentifier = attemptIdentifier;
    this.tokens = firstToken;
    this.rules = rules;
  }

  /** Checks the response header that names the attempt. */
  void head(String requestIdHeader) {
    if (!attemptIdentifier.equals(requestIdHeader)) {
      refuseCrossed("the answer's header names request '" + requestIdHeader + "'");
    }
  }

  /** Returns the part to deliver for an event; nothing for the end marker. */
  Optional<EngineAnswerPart> event(ServerSentEvent event) {
    if (endMarker) {
      throw cut("an event came after the end marker");
    }
    String name = event.id();
    int separator = name.lastIndexOf(TOKENS_SEPARATOR);
    if (isEndMarker(event.data())) {
      endMarker = true;
      return Optional.empty();
    }
    AnswerScanner scanner = scan(event.data());
    String named = separator < 0 ? name : name.substring(0, separator);
    checkAttempt(named, scanner);
    countTokens(separator < 0 ? "" : name.substring(separator + 1), scanner);
    finished |= scanner.finished();
    return Optional.of(part(event.data(), scanner));
  }

  /** Returns the one part of an answer that is not a stream. */
  EngineAnswerPart whole(Buffer body) {
    AnswerScanner scanner = scan(body);
    checkAttempt("", scanner);
    if (!scanner.finished()) {
      throw cut("the answer has no finish reason");
    }
    finished = true;
    endMarker = true;
    return part(body, scanner);
  }

  /** Returns whether the stream may be delivered as a success, should it end now. */
  boolean isWhole() {
    return !rules.contains(AnswerRule.END_MARKER) || (finished && endMarker);
  }

  /** Returns whether something came that names another attempt. */
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
      throw cut("the answer is not valid JSON: " + exception.getMessage());
    }
    if (scanner.hasError()) {
      throw cut("the engine ended its answer with an error: " + data);
    }
    return scanner;
  }

  private void checkAttempt(String eventId, AnswerScanner scanner) {
    boolean named =
        names(eventId) || names(scanner.requestId()) || namedByIdentifier(scanner.idText());
    boolean contradicted = contradicts(eventId) || contradicts(scanner.requestId());
    if (contradicted || !named) {
      refuseCrossed("a part of the answer names '" + eventId + "', '" + scanner.idText() + "'");
    }
  }

  private boolean names(String name) {
    return attemptIdentifier.equals(name);
  }

  private boolean contradicts(String name) {
    return !name.isEmpty() && !names(name);
  }

  private boolean namedByIdentifier(String identifier) {
    return identifier.endsWith(attemptIdentifier);
  }

  private void refuseCrossed(String what) {
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
        throw cut("the event's position '" + position + "' is not a number");
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
