package org.agatefield.settings;

import java.util.OptionalInt;

/**
 * A fault in a settings file. Immutable.
 *
 * @param file the name of the file
 * @param line the line of the key, counted from 1; empty if the key is missing
 * @param key the key qualified by its table, such as {@code limits.body_bytes}
 * @param found the value found
 * @param allowed the values allowed
 */
public record SettingsFault(
    String file, OptionalInt line, String key, String found, String allowed) {
  @Override
  public String toString() {
    String place = line.isPresent() ? file + ":" + line.getAsInt() : file;
    return place + ": " + key + ": found " + found + "; allowed: " + allowed;
  }
}
