package org.agatefield.configuration.check;

import java.util.OptionalInt;
import org.agatefield.configuration.ConfigurationFault;

/**
 * Something that a check found in a configuration. Immutable.
 *
 * @param severity whether the daemon refuses or ignores what was found
 * @param path the path of the field, such as {@code $.deployments[0].name}
 * @param line the line of the file, counted from 1; empty if it is not known
 * @param found the value found, shortened, without secrets
 * @param expected what is expected instead
 */
public record CheckFinding(
    Severity severity, String path, OptionalInt line, String found, String expected) {
  /** How serious a finding is. */
  public enum Severity {
    /** The daemon refuses the configuration or ignores the field or entry. */
    ERROR,
    /** The daemon accepts it, but it has no effect or contradicts another field. */
    WARNING
  }

  /** Returns an error that the daemon's own validation reports. */
  public static CheckFinding error(ConfigurationFault fault) {
    return new CheckFinding(
        Severity.ERROR, fault.path(), OptionalInt.empty(), fault.found(), fault.rule());
  }

  /** Returns a warning. */
  public static CheckFinding warning(String path, String found, String expected) {
    return new CheckFinding(Severity.WARNING, path, OptionalInt.empty(), found, expected);
  }

  CheckFinding atLine(OptionalInt newLine) {
    return new CheckFinding(severity, path, newLine, found, expected);
  }
}
