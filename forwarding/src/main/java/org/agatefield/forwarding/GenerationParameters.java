package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * What a generation asks of an engine. Immutable.
 *
 * @param model the model's name
 * @param adapter the adapter's name, if one is asked for
 * @param promptTokens the size of the prompt
 * @param outputTokens the most tokens to generate
 * @param parts the prompt's parts in order; those before the last are shared with other requests
 */
public record GenerationParameters(
    String model,
    Optional<String> adapter,
    int promptTokens,
    int outputTokens,
    List<PromptPart> parts) {
  /** Copies the list. */
  public GenerationParameters {
    parts = List.copyOf(parts);
  }

  /**
   * A part of a prompt. Immutable.
   *
   * @param id equal for equal contents
   * @param tokens its size
   */
  public record PromptPart(String id, int tokens) {}
}
