package org.agatefield.model;

/**
 * One version of one deployment: the unit that a runner loads. Immutable.
 *
 * @param deployment the name that callers send as {@code model}
 * @param version the version's name, unique within the deployment
 */
public record VersionId(String deployment, String version) {
  /** Returns the name of the version at engines, {@code deployment@version}. */
  public String engineName() {
    return deployment + "@" + version;
  }

  /** Returns the version whose {@link #engineName()} is {@code name}. */
  public static VersionId parse(String name) {
    int at = name.lastIndexOf('@');
    if (at < 1 || at == name.length() - 1) {
      throw new IllegalArgumentException(
          "version: '" + name + "' is not of the form deployment@version");
    }
    return new VersionId(name.substring(0, at), name.substring(at + 1));
  }

  @Override
  public String toString() {
    return engineName();
  }
}
