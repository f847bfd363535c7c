package org.agatefield.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for an invalid settings file; contains all its faults. Immutable. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFault> faults;

  /** Creates the exception; {@code faults} is not empty. */
  public SettingsException(List<SettingsFault> faults) {
    super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns every fault, in the order in which they were found. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
