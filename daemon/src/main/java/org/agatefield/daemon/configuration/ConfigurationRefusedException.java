package org.agatefield.daemon.configuration;

import java.util.List;
import org.agatefield.configuration.ConfigurationFault;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/** A document that breaks rules. Immutable. */
public final class ConfigurationRefusedException extends AgatefieldException {
  private static final long serialVersionUID = 1L;

  private final transient List<ConfigurationFault> faults;

  /** Creates a failure from at least one fault. */
  public ConfigurationRefusedException(List<ConfigurationFault> faults) {
    super(ErrorKind.CONFIGURATION_REFUSED, "the document breaks " + faults.size() + " rules");
    this.faults = List.copyOf(faults);
  }

  /** Returns every fault. */
  public List<ConfigurationFault> faults() {
    return faults;
  }
}
