package org.agatefield.daemon.configuration;

import org.agatefield.configuration.ConfigurationDifference;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/** A document that was written against another generation than the accepted one. Immutable. */
public final class ConfigurationConflictException extends AgatefieldException {
  private static final long serialVersionUID = 1L;

  private final transient ConfigurationDifference difference;

  /**
   * Creates a failure.
   *
   * @param difference what applying the document would have changed in the accepted one
   */
  public ConfigurationConflictException(ConfigurationDifference difference) {
    super(
        ErrorKind.CONFIGURATION_CONFLICT,
        "the document was written against generation "
            + difference.toGeneration()
            + " but generation "
            + difference.fromGeneration()
            + " is accepted");
    this.difference = difference;
  }

  /** Returns what applying the document would have changed in the accepted one. */
  public ConfigurationDifference difference() {
    return difference;
  }
}
