package org.agatefield.daemon.configuration;

import org.agatefield.configuration.ConfigurationDifference;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/** Thrown if a document is based on a generation other than the accepted one. Immutable. */
public final class ConfigurationConflictException extends AgatefieldException {
  private static final long serialVersionUID = 1L;

  private final transient ConfigurationDifference difference;

  /**
   * Creates an exception.
   *
   * @param difference the changes that the document would make to the accepted one
   */
  public ConfigurationConflictException(ConfigurationDifference difference) {
    super(
        ErrorKind.CONFIGURATION_CONFLICT,
        "the document is based on generation "
            + difference.toGeneration()
            + " but generation "
            + difference.fromGeneration()
            + " is accepted");
    this.difference = difference;
  }

  /** Returns the changes that the document would make to the accepted one. */
  public ConfigurationDifference difference() {
    return difference;
  }
}
