package org.agatefield.daemon.configuration;

import java.util.List;
import org.agatefield.configuration.ConfigurationFault;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/** Thrown if a document violates configuration rules. Immutable. */
public final class ConfigurationRefusedException extends AgatefieldException {
  private static final long serialVersionUID = 1L;

  private final transient List<ConfigurationFault> faults;

  /** Creates an exception with at least one fault. */
  public ConfigurationRefusedException(List<ConfigurationFault> faults) {
    super(ErrorKind.CONFIGURATION_REFUSED, "the document violates " + faults.size() + " rules");
    this.faults = List.copyOf(faults);
  }

  /** Returns all faults. */
  public List<ConfigurationFault> faults() {
    return faults;
  }
}
