package org.agatefield.configuration;

/**
 * A violation of a rule by a configuration document. Immutable.
 *
 * @param path the path of the field, such as {@code $.deployments[0].name}
 * @param found the value found, shortened
 * @param rule the rule that is violated
 */
public record ConfigurationFault(String path, String found, String rule) {
  @Override
  public String toString() {
    return path + ": found " + found + "; " + rule;
  }
}
