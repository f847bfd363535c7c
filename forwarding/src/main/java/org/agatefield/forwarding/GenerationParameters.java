package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The parameters of a generation request to an engine. Immutable.
 *
 * @param model the model's name
 * @param adapter the adapter's name, if one is requested
 * @param promptTokens the size of the prompt
 * @param outputTokens the maximum number of tokens to generate
 * @param outputHint the caller's estimate of the number of tokens to generate
 * @param parts the parts of the prompt in order; all but the last are shared with other requests
 */
public record GenerationParameters(
    String model,
    Optional<String> adapter,
    int promptTokens,
    int outputTokens,
    OptionalInt outputHint,
    List<PromptPart> parts) {
  /** Copies the list. */
  public GenerationParameters {
    parts = List.copyOf(parts);
  }

  /** Creates the parameters of a request without a hint. */
  public GenerationParameters(
      String model,
      Optional<String> adapter,
      int promptTokens,
      int outputTokens,
      List<PromptPart> parts) {
    this(model, adapter, promptTokens, outputTokens, OptionalInt.empty(), parts);
  }

  /** Returns the identifiers of the parts in order without the last one. */
  public List<String> sharedPartIds() {
    return parts.stream().limit(Math.max(0, parts.size() - 1L)).map(PromptPart::id).toList();
  }

  /**
   * A part of a prompt. Immutable.
   *
   * @param id equal for parts with equal contents
   * @param tokens the size of the part
   */
  public record PromptPart(String id, int tokens) {}
}
