package org.agatefield.configuration;

/**
 * One way in which a configuration document breaks a rule. Immutable.
 *
 * @param path the field, such as {@code $.deployments[0].name}
 * @param found what stands there, shortened
 * @param rule what is allowed
 */
public record ConfigurationFault(String path, String found, String rule) {
  @Override
  public String toString() {
    return path + ": found " + found + "; " + rule;
  }
}
