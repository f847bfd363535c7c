package org.agatefield.daemon.forward.wire;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.agatefield.forwarding.RequestMetadata;
import org.agatefield.model.Address;

/** How callers and the platform's checks talk to an instance. Stateless. */
public interface CallerDialect {
  /** Returns the path that answers whether the instance takes requests. */
  String readinessPath();

  /** Returns the path that answers which instances to use. */
  String directoryPath();

  /** Reads where an asking caller lies. */
  CallerLocation callerLocation(MultiMap parameters);

  /** Writes the answer to which instances to use. */
  Buffer directoryAnswer(List<Address> addresses, Duration timeToLive);

  /** Reads what a request's headers say; absent parts are empty. */
  RequestMetadata requestTerms(MultiMap headers);

  /** Returns the name of the header that carries a client's key. */
  String keyHeader();

  /** Returns headers, in lower case, that only this system may set and never passes on. */
  Set<String> reservedHeaders();

  /**
   * Where a caller lies. Immutable.
   *
   * @param region empty text if it did not say
   * @param failureDomain empty text if it did not say
   */
  record CallerLocation(String region, String failureDomain) {}
}
