package org.agatefield.forwarding;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The metadata of a request from its headers. Immutable.
 *
 * @param id unique for each attempt of a caller
 * @param deadlineMilliseconds how long the caller waits, measured from when it sent the request
 * @param lastEventId the event after which a stream is to resume
 * @param prompt the parameters of a generation; empty for a plain request
 * @param tokenUsage the declared numbers of tokens, if any
 * @param key the digest of the key that identifies the client account; empty without a key
 */
public record RequestMetadata(
    String id,
    OptionalLong deadlineMilliseconds,
    Optional<String> lastEventId,
    Optional<GenerationParameters> prompt,
    Optional<TokenUsage> tokenUsage,
    Optional<KeyDigest> key) {
  /**
   * The size that a request declares. Immutable.
   *
   * @param promptTokens the size of the prompt
   * @param outputTokens the maximum number of tokens to generate
   */
  public record TokenUsage(int promptTokens, int outputTokens) {}
}
