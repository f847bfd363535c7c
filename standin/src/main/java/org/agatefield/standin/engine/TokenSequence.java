package org.agatefield.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * The tokens that a model generates for a prompt. Each token depends only on the model, the prompt
 * and its position. Immutable.
 *
 * @param seed checksum of the model and the prompt
 * @param length number of tokens
 */
public record TokenSequence(long seed, int length) {
  private static final int TOKEN_VALUES = 0x10000;

  /** Returns the sequence for a prompt. */
  public static TokenSequence of(String engineModel, String prompt, int length) {
    CRC32 checksum = new CRC32();
    checksum.update(engineModel.getBytes(StandardCharsets.UTF_8));
    checksum.update(0);
    checksum.update(prompt.getBytes(StandardCharsets.UTF_8));
    return new TokenSequence(checksum.getValue(), length);
  }

  /** Returns the text of the token at a position, counted from 0. */
  public String token(int position) {
    long mixed = (seed + position) * 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    long value = (mixed >>> 40) % TOKEN_VALUES;
    return "w" + Long.toHexString(value) + " ";
  }

  /** Returns the text of all tokens. */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (int position = 0; position < length; position++) {
      text.append(token(position));
    }
    return text.toString();
  }

  /** Returns the checksum of a prompt and the whole answer to it. */
  public static String checksum(String prompt, String answer) {
    CRC32 checksum = new CRC32();
    checksum.update(prompt.getBytes(StandardCharsets.UTF_8));
    checksum.update(0);
    checksum.update(answer.getBytes(StandardCharsets.UTF_8));
    return Long.toHexString(checksum.getValue());
  }
}
