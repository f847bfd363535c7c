package org.agatefield.settings;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;

/**
 * The validated settings of a forwarding daemon. Immutable.
 *
 * @param instanceName prefix of the instance's identifier, which gets a random suffix at each start
 * @param failureDomain the failure domain of the instance
 * @param listeners the addresses on which it listens
 * @param store address of the platform's store
 * @param peers addresses of other instances, the seeds for joining the membership; may be out of
 *     date
 * @param regions the region of each failure domain, by the failure domain's name
 * @param terms guarantees of the operators to callers and upstreams
 * @param quotas how quotas of client accounts are enforced
 * @param capacity what the machine of the instance can do
 * @param descriptors how many descriptors the process may open; as the system says if empty
 * @param log the format and level of the log
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
    Capacity capacity,
    OptionalInt descriptors,
    DaemonSettings.Log log) {
  /** Copies the collections. */
  public ForwardingSettings {
    peers = List.copyOf(peers);
    regions = Map.copyOf(regions);
  }

  /**
   * The listener addresses of a forwarding daemon. Immutable.
   *
   * @param callers requests to be forwarded
   * @param readiness readiness checks of the platform
   * @param directory requests of callers for the instance to use
   * @param peers connections from other instances
   * @param metrics metrics; not served if empty
   */
  public record Listeners(
      Address callers,
      Address readiness,
      Address directory,
      Address peers,
      Optional<Address> metrics) {}

  /**
   * Guarantees of the operators to callers and upstreams. Immutable.
   *
   * @param drain maximum time for which a leaving runner may still get requests
   * @param grace maximum time for which a process may continue after a request to terminate
   * @param configurationApply maximum time until a new configuration is in force
   * @param retryShare number of retries allowed per request of a service
   * @param retryReserve number of retries of a service allowed in addition, over all instances
   * @param retryWindow the time window in which retries are counted
   * @param answerTimeToLive how long callers may use an answer that names the instance to use
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
   * Enforcement of the quotas of client accounts over all instances. Immutable.
   *
   * @param window the time window in which usage is counted
   * @param overage fraction of a quota by which usage may exceed it
   * @param slack additional amount by which usage may exceed a quota, in the quota's unit
   * @param sharing how instances share a quota
   */
  public record Quotas(Duration window, double overage, double slack, QuotaSharing sharing) {}

  /**
   * What the machine of an instance can do, compared with other instances. Immutable.
   *
   * @param processorShare the part of a processor that the process may use
   * @param processorSpeed the speed of that processor; 1 is an ordinary one
   */
  public record Capacity(double processorShare, double processorSpeed) {
    /** An ordinary processor without a limit. */
    public static final Capacity ORDINARY = new Capacity(1, 1);

    /** Returns the capacity in ordinary processors. */
    public double processors() {
      return processorShare * processorSpeed;
    }
  }

  /** The ways in which instances share a quota. */
  public enum QuotaSharing {
    /**
     * One instance in each region holds the quota and grants requests of the other instances from
     * it.
     */
    HOLDERS,
    /** Each instance grants requests from an equal share. */
    EQUAL_PARTS
  }
}
