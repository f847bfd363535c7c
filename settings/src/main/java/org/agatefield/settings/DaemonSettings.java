package org.agatefield.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;

/**
 * The checked settings of a daemon. Immutable.
 *
 * @param instanceName the start of the instance's identifier; a random part is added at each start
 * @param failureDomain where the instance lies
 * @param listeners where it listens
 * @param platform how it reaches the platform's store and instance list
 * @param peers addresses of other instances to start membership from
 * @param limits bounds of its work
 * @param operatorTokenSha256 the SHA-256 of the operators' bearer token, 64 hexadecimal digits
 * @param tls certificate and key for all listeners; plain TCP if empty
 * @param log how it logs
 */
public record DaemonSettings(
    String instanceName,
    FailureDomain failureDomain,
    Listeners listeners,
    Platform platform,
    List<Address> peers,
    Limits limits,
    String operatorTokenSha256,
    Optional<Tls> tls,
    Log log) {

  /** Copies the list. */
  public DaemonSettings {
    peers = List.copyOf(peers);
  }

  /**
   * Where a daemon listens. Immutable.
   *
   * @param callers callers and operators, over HTTP
   * @param peers other instances
   */
  public record Listeners(Address callers, Address peers) {}

  /**
   * How a daemon reaches the platform. Immutable.
   *
   * @param store the object API
   * @param storeTimeout how long a call of the store may take before its result is unknown
   * @param pollInterval how often the store is read although its watch is quiet
   */
  public record Platform(Address store, Duration storeTimeout, Duration pollInterval) {}

  /**
   * Bounds of a daemon's work. Immutable.
   *
   * @param bodyBytes largest request body
   * @param headerBytes largest request header
   * @param queuedRequests most requests that wait for an upstream
   * @param queuedBytes most bytes of bodies that are held at once
   * @param defaultDeadline deadline of a request that names none
   * @param entryTimeToLive how long callers may keep an answer to which instances to use
   * @param drainTimeout how long a graceful shutdown waits for running requests
   * @param claimRetention how long outcomes of calls that must not repeat are kept
   * @param orderQuarantine how long an order to an engine that checks no fencing tokens may still
   *     take effect
   */
  public record Limits(
      long bodyBytes,
      int headerBytes,
      int queuedRequests,
      long queuedBytes,
      Duration defaultDeadline,
      Duration entryTimeToLive,
      Duration drainTimeout,
      Duration claimRetention,
      Duration orderQuarantine) {}

  /**
   * TLS for every listener. Immutable.
   *
   * @param certificate PEM file with the certificate chain
   * @param key PEM file with the private key
   * @param authority PEM file with the authority that peers' and upstreams' certificates are
   *     checked against
   */
  public record Tls(Path certificate, Path key, Path authority) {}

  /**
   * How a daemon logs. Immutable.
   *
   * @param format text for people or one JSON object a line
   * @param level the lowest level that is written: error, warn, info, debug or trace
   */
  public record Log(LogFormat format, String level) {}

  /** The formats of the log. */
  public enum LogFormat {
    /** Text for people. */
    TEXT,
    /** One JSON object a line. */
    JSON
  }
}
