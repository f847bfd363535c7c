package org.agatefield.forwarding;

import java.util.List;
import org.agatefield.forwarding.GenerationParameters.PromptPart;

/**
 * The parts of a prompt that runners may keep, each under a key that stands for it with all parts
 * before it. Computed once for a request, as every candidate is asked for them. Immutable.
 */
public final class SharedParts {
  private final int promptTokens;
  private final String[] keys;
  private final int[] tokens;

  private SharedParts(int promptTokens, String[] keys, int[] tokens) {
    this.promptTokens = promptTokens;
    this.keys = keys;
    this.tokens = tokens;
  }

  /** Returns the parts of a prompt except the last, which other requests do not share. */
  public static SharedParts of(GenerationParameters prompt) {
    List<PromptPart> parts = prompt.parts();
    int size = Math.max(0, parts.size() - 1);
    String[] keys = new String[size];
    int[] tokens = new int[size];
    StringBuilder key =
        new StringBuilder(prompt.model()).append('/').append(prompt.adapter().orElse(""));
    for (int index = 0; index < size; index++) {
      key.append('|').append(parts.get(index).id());
      keys[index] = key.toString();
      tokens[index] = parts.get(index).tokens();
    }
    return new SharedParts(prompt.promptTokens(), keys, tokens);
  }

  int promptTokens() {
    return promptTokens;
  }

  int size() {
    return keys.length;
  }

  String key(int index) {
    return keys[index];
  }

  int tokens(int index) {
    return tokens[index];
  }
}
