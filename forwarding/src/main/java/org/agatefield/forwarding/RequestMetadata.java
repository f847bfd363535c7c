package org.agatefield.forwarding;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's headers say about a request. Immutable.
 *
 * @param id unique for each try of a caller
 * @param deadlineMilliseconds how long the caller waits, from its sending
 * @param lastEventId the event after which a stream is to go on
 * @param prompt what a generation asks for; empty for a plain request
 * @param tokenUsage the tokens that the request names, if it does
 * @param key the digest of the key that identifies the client account; empty without one
 */
public record RequestMetadata(
    String id,
    OptionalLong deadlineMilliseconds,
    Optional<String> lastEventId,
    Optional<GenerationParameters> prompt,
    Optional<TokenUsage> tokenUsage,
    Optional<KeyDigest> key) {
  /**
   * How large a request says that it is. Immutable.
   *
   * @param promptTokens the size of the prompt
   * @param outputTokens the most tokens to generate
   */
  public record TokenUsage(int promptTokens, int outputTokens) {}
}
