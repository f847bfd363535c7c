package org.agatefield.configuration;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a document is invalid; contains every fault found. Immutable. */
public final class ConfigurationFaultsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<ConfigurationFault> faults;

  /** Creates an exception from at least one fault. */
  public ConfigurationFaultsException(List<ConfigurationFault> faults) {
    super(faults.stream().map(ConfigurationFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns every fault, in the order in which they were found. */
  public List<ConfigurationFault> faults() {
    return faults;
  }
}
