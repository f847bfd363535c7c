package org.agatefield.configuration.check;

import java.util.List;
import org.agatefield.configuration.ConfigurationChange;

/**
 * A difference from the configuration in force. Immutable.
 *
 * @param kind whether the entry was added, removed or replaced
 * @param path the entry by name, such as {@code routes/checkout}
 * @param details what differs in the entry, without secrets
 * @param effects what the change does to requests
 */
public record CheckChange(
    ConfigurationChange.Kind kind, String path, List<String> details, List<String> effects) {
  /** Copies the lists. */
  public CheckChange {
    details = List.copyOf(details);
    effects = List.copyOf(effects);
  }
}
