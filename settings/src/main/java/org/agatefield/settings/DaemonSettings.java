package org.agatefield.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;

/**
 * The validated settings of a daemon. Immutable.
 *
 * @param instanceName prefix of the instance's identifier, which gets a random suffix at each start
 * @param failureDomain the failure domain of the instance
 * @param listeners the addresses on which it listens
 * @param platform access to the platform's object store
 * @param peers addresses of other instances, the seeds for joining the membership
 * @param limits resource and time limits
 * @param operatorTokenSha256 the SHA-256 digest of the operators' bearer token as 64 hexadecimal
 *     digits
 * @param tls certificate and key for all listeners; plain TCP if empty
 * @param log the format and level of the log
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
   * The listener addresses of a daemon. Immutable.
   *
   * @param callers the HTTP listener for callers and operators
   * @param peers the listener for other instances
   */
  public record Listeners(Address callers, Address peers) {}

  /**
   * Access to the platform. Immutable.
   *
   * @param store address of the platform's object API
   * @param storeTimeout time limit for store calls, after which the result of a call is unknown
   * @param pollInterval interval at which the store is read even if its watch reports no change
   */
  public record Platform(Address store, Duration storeTimeout, Duration pollInterval) {}

  /**
   * Resource and time limits of a daemon. Immutable.
   *
   * @param bodyBytes maximum size of a request body
   * @param headerBytes maximum total size of the request headers
   * @param queuedRequests maximum number of requests that wait for an upstream
   * @param queuedBytes maximum total size of request bodies buffered at the same time
   * @param defaultDeadline deadline of requests that specify none
   * @param entryTimeToLive how long callers may use an entry answer, which names the instances to
   *     use
   * @param drainTimeout maximum time that a graceful shutdown waits for running requests
   * @param claimRetention how long the outcomes of non-repeatable calls are stored
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
   * TLS files for all listeners. Immutable.
   *
   * @param certificate PEM file with the certificate chain
   * @param key PEM file with the private key
   * @param authority PEM file with the certificate authority that must have signed the certificates
   *     of peers and upstreams
   */
  public record Tls(Path certificate, Path key, Path authority) {}

  /**
   * Log settings of a daemon. Immutable.
   *
   * @param format plain text or one JSON object per line
   * @param level the least severe level that is logged: error, warn, info, debug or trace
   */
  public record Log(LogFormat format, String level) {}

  /** The log formats. */
  public enum LogFormat {
    /** Plain text. */
    TEXT,
    /** One JSON object per line. */
    JSON
  }
}
