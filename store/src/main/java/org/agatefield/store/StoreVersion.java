package org.agatefield.store;

import java.util.regex.Pattern;

/**
 * A version of an object or of the whole store that is unique for ever. Immutable.
 *
 * <p>A store that comes back from an older copy gives out the same revisions again for other
 * contents. The era, which the store raises each time, tells them apart.
 *
 * @param era the store's era; {@link #NO_ERA} for a store that names none
 * @param revision the revision as the store writes it
 */
public record StoreVersion(long era, String revision) {
  /** The era of a store that names none and never goes back. */
  public static final long NO_ERA = 0;

  private static final char SEPARATOR = '/';
  private static final Pattern ERA = Pattern.compile("[0-9]{1,18}");

  /** Parses a version as {@link #toString()} writes it; any other text is a revision. */
  public static StoreVersion parse(String text) {
    int separator = text.indexOf(SEPARATOR);
    String era = text.substring(0, Math.max(0, separator));
    return ERA.matcher(era).matches()
        ? new StoreVersion(Long.parseLong(era), text.substring(separator + 1))
        : new StoreVersion(NO_ERA, text);
  }

  /** Returns the version as text, which is the revision alone if the store names no era. */
  @Override
  public String toString() {
    return era == NO_ERA ? revision : "" + era + SEPARATOR + revision;
  }
}
