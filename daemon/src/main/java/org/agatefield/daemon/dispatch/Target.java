package org.agatefield.daemon.dispatch;

import java.util.Optional;
import org.agatefield.model.VersionId;

/**
 * Identifies the version and adapter, or the service, that an upstream must hold to serve a
 * request. Immutable.
 *
 * @param name the engine name of the version, or {@code service:} and the service's name
 * @param deployment the deployment's or service's name
 * @param version the version; empty for a plain service
 * @param adapter the adapter; empty if none
 */
record Target(
    String name, String deployment, Optional<VersionId> version, Optional<String> adapter) {
  private static final String SERVICE_PREFIX = "service:";

  static Target of(VersionId version, Optional<String> adapter) {
    return new Target(
        queueName(version, adapter), version.deployment(), Optional.of(version), adapter);
  }

  static Target ofService(String service) {
    return new Target(SERVICE_PREFIX + service, service, Optional.empty(), Optional.empty());
  }

  /**
   * Includes the adapter: requests for different adapters are served by different upstreams and
   * need separate queues.
   */
  private static String queueName(VersionId version, Optional<String> adapter) {
    return adapter.map(name -> version.engineName() + "+" + name).orElse(version.engineName());
  }
}
