package org.agatefield.configuration;

import java.util.List;
import java.util.stream.Collectors;

/** A document that is not valid, with every fault that was found. Immutable. */
public final class ConfigurationFaultsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<ConfigurationFault> faults;

  /** Creates a failure from at least one fault. */
  public ConfigurationFaultsException(List<ConfigurationFault> faults) {
    super(faults.stream().map(ConfigurationFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns every fault, in the order of the document. */
  public List<ConfigurationFault> faults() {
    return faults;
  }
}
