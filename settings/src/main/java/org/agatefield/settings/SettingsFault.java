package org.agatefield.settings;

import java.util.OptionalInt;

/**
 * One fault of a settings file. Immutable.
 *
 * @param file the name of the file
 * @param line where the key stands, counted from 1; empty if the key is missing
 * @param key the key with its table, such as {@code limits.body_bytes}
 * @param found what stands there
 * @param allowed what may stand there
 */
public record SettingsFault(
    String file, OptionalInt line, String key, String found, String allowed) {
  @Override
  public String toString() {
    String place = line.isPresent() ? file + ":" + line.getAsInt() : file;
    return place + ": " + key + ": found " + found + "; allowed: " + allowed;
  }
}
