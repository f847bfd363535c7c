package org.agatefield.settings;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;

/**
 * The checked settings of a forwarding daemon. Immutable.
 *
 * @param instanceName the start of the instance's identifier; a random part is added at each start
 * @param failureDomain where the instance lies
 * @param listeners where it listens
 * @param store where the platform's store answers
 * @param peers addresses of other instances to start membership from; may be out of date
 * @param regions the region of each failure domain, by the failure domain's name
 * @param terms what the operators promise their callers and upstreams
 * @param quotas how quotas of client accounts are kept
 * @param log how it logs
 */
public record ForwardingSettings(
    String instanceName,
    FailureDomain failureDomain,
    Listeners listeners,
    Address store,
    List<Address> peers,
    Map<String, String> regions,
    Terms terms,
    Quotas quotas,
    DaemonSettings.Log log) {
  /** Copies the collections. */
  public ForwardingSettings {
    peers = List.copyOf(peers);
    regions = Map.copyOf(regions);
  }

  /**
   * Where a forwarding daemon listens. Immutable.
   *
   * @param callers requests that are passed on
   * @param readiness the platform's checks
   * @param directory callers that ask which instance to use
   * @param peers other instances
   * @param metrics whoever reads metrics; nobody if empty
   */
  public record Listeners(
      Address callers,
      Address readiness,
      Address directory,
      Address peers,
      Optional<Address> metrics) {}

  /**
   * What the operators promise. Immutable.
   *
   * @param drain how long a leaving runner may still get requests
   * @param grace how long a process may go on after it was asked to end
   * @param configurationApply how long a new configuration may take to be in force
   * @param retryShare repeated requests allowed for each request of a service
   * @param retryReserve repeated requests of a service allowed beside, over all instances
   * @param retryWindow the time over which repeats are counted
   * @param answerTimeToLive how long callers may keep an answer to which instance to use
   */
  public record Terms(
      Duration drain,
      Duration grace,
      Duration configurationApply,
      double retryShare,
      double retryReserve,
      Duration retryWindow,
      Duration answerTimeToLive) {}

  /**
   * How quotas of client accounts are kept over all instances. Immutable.
   *
   * @param window the span over which work is counted
   * @param overage the part of a quota that may be exceeded
   * @param slack what may be exceeded beside that, in the quota's unit
   * @param sharing who may grant what
   */
  public record Quotas(Duration window, double overage, double slack, QuotaSharing sharing) {}

  /** How instances share a quota. */
  public enum QuotaSharing {
    /** One instance of each region holds it and grants what the others ask for. */
    HOLDERS,
    /** Each instance grants an equal part. */
    EQUAL_PARTS
  }
}
