package org.agatefield.forwarding;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.agatefield.forwarding.GenerationParameters.PromptPart;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The parts of a prompt that runners may keep, each under a key that stands for it with all parts
 * before it. Computed once for a request, as every candidate is asked for them. Immutable.
 *
 * <p>Invariant: the size grows with the number of parts, whatever their identifiers are. Keys are
 * hashes; a collision costs a wrong estimate of what a runner keeps.
 */
public final class SharedParts {
  private final int promptTokens;
  private final Key[] keys;
  private final int[] tokens;

  /** Stands for a part with all parts before it. Immutable. */
  record Key(long first, long second) {
    private static final int BYTES = 2 * Long.BYTES;

    /** Returns the key of a text that follows what this key stands for. */
    private Key followedBy(String text) {
      byte[] following = text.getBytes(StandardCharsets.UTF_8);
      ByteBuffer all = ByteBuffer.allocate(BYTES + following.length);
      all.putLong(first).putLong(second).put(following);
      long[] hash = MurmurHash3.hash128x64(all.array());
      return new Key(hash[0], hash[1]);
    }
  }

  private SharedParts(int promptTokens, Key[] keys, int[] tokens) {
    this.promptTokens = promptTokens;
    this.keys = keys;
    this.tokens = tokens;
  }

  /** Returns the parts of a prompt except the last, which other requests do not share. */
  public static SharedParts of(GenerationParameters prompt) {
    List<PromptPart> parts = prompt.parts();
    int size = Math.max(0, parts.size() - 1);
    Key[] keys = new Key[size];
    int[] tokens = new int[size];
    Key key = new Key(0, 0).followedBy(prompt.model());
    if (prompt.adapter().isPresent()) {
      key = key.followedBy("/").followedBy(prompt.adapter().get());
    }
    for (int index = 0; index < size; index++) {
      key = key.followedBy(parts.get(index).id());
      keys[index] = key;
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

  Key key(int index) {
    return keys[index];
  }

  int tokens(int index) {
    return tokens[index];
  }
}
