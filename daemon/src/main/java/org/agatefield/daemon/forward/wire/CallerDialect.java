package org.agatefield.daemon.forward.wire;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.agatefield.forwarding.RequestMetadata;
import org.agatefield.model.Address;

/** Defines how callers and the platform's checks communicate with an instance. Stateless. */
public interface CallerDialect {
  /** Returns the path of the readiness check. */
  String readinessPath();

  /** Returns the path of the entry directory. */
  String directoryPath();

  /** Reads the location of a caller from its query parameters. */
  CallerLocation callerLocation(MultiMap parameters);

  /** Encodes the directory response. */
  Buffer directoryAnswer(List<Address> addresses, Duration timeToLive);

  /** Reads the terms in a request's headers; missing ones are empty. */
  RequestMetadata requestTerms(MultiMap headers);

  /** Returns the name of the header that carries a client's API key. */
  String keyHeader();

  /**
   * Returns the lower-case names of headers that only this system may set and that are never
   * forwarded.
   */
  Set<String> reservedHeaders();

  /**
   * The location of a caller. Immutable.
   *
   * @param region empty if not given
   * @param failureDomain empty if not given
   */
  record CallerLocation(String region, String failureDomain) {}
}
