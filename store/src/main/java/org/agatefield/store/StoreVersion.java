package org.agatefield.store;

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

  /** Parses a version as {@link #toString()} writes it; any other text is a revision alone. */
  public static StoreVersion parse(String text) {
    int separator = text.indexOf(SEPARATOR);
    if (separator < 0) {
      return new StoreVersion(NO_ERA, text);
    }
    try {
      long era = Long.parseLong(text.substring(0, separator));
      return new StoreVersion(era, text.substring(separator + 1));
    } catch (NumberFormatException exception) {
      return new StoreVersion(NO_ERA, text); // Instances of other builds may write it differently.
    }
  }

  /** Returns the version as text, which is the revision alone if the store names no era. */
  @Override
  public String toString() {
    return era == NO_ERA ? revision : "" + era + SEPARATOR + revision;
  }
}
