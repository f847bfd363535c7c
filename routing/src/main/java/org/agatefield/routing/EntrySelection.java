package org.agatefield.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;

/**
 * Selects the instances that a caller is told to use.
 *
 * <p>Designed for machines of unequal size and failure domains that have their peaks at different
 * times. A caller picks one of the instances in its answer at random, so an instance is named to a
 * share of the callers that is in proportion to the capacity that it has left. Callers stay in
 * their failure domain, since traffic between domains is slow and charged; while its instances are
 * behind, a share of its callers is sent to a domain of the same region whose instances are not.
 * Which callers follows from a hash, so that a caller's answers change little from one to the next.
 *
 * <p>Invariants: an answer names at least {@link #MINIMUM_ENTRIES} instances if there are as many;
 * without known loads it names all of the nearest ones; no more than {@link #MAXIMUM_MOVED_SHARE}
 * of a domain's callers are sent elsewhere. Stateless.
 */
public final class EntrySelection {
  /** The smallest number of instances in an answer; two may fail at the same time. */
  public static final int MINIMUM_ENTRIES = 3;

  /** The largest share of a failure domain's callers that is sent to other domains. */
  public static final double MAXIMUM_MOVED_SHARE = 0.5;

  // Below this part of its capacity a domain's instances keep requests waiting for tens of
  // milliseconds, far longer than a crossing to a neighbouring domain takes.
  private static final double OVERLOADED_SHARE = 0.5;
  private static final double MINIMUM_ADVANTAGE = 1.5; // Similar domains exchange no callers.

  private EntrySelection() {}

  /**
   * What is known of the load. Immutable.
   *
   * @param instances the loads of the instances of the own failure domain, by identifier
   * @param domains the loads of failure domains, by name
   */
  public record Loads(Map<String, InstanceLoad> instances, Map<String, DomainLoad> domains) {
    /** Nothing is known. */
    public static final Loads UNKNOWN = new Loads(Map.of(), Map.of());

    /** Copies the maps. */
    public Loads {
      instances = Map.copyOf(instances);
      domains = Map.copyOf(domains);
    }
  }

  /**
   * Returns the instances that a caller should use.
   *
   * @param domain the failure domain of the caller; its names may be empty or unknown
   * @param callerKey identifies the caller; equal keys get similar answers
   */
  public static List<Instance> entriesFor(
      FailureDomain domain, String callerKey, Collection<Instance> alive, Loads loads) {
    List<Instance> live =
        alive.stream().filter(instance -> instance.state() == InstanceState.LIVE).toList();
    List<Instance> sameRegion =
        live.stream()
            .filter(each -> each.failureDomain().region().equals(domain.region()))
            .toList();
    List<Instance> nearest = ofDomain(sameRegion, domain.name());
    if (nearest.isEmpty()) {
      return sameRegion.isEmpty() ? live : sameRegion;
    }
    List<Instance> elsewhere = elsewhere(domain, callerKey, sameRegion, loads.domains());
    return elsewhere.isEmpty()
        ? byCapacity(nearest, callerKey, loads.instances())
        : byCapacity(elsewhere, callerKey, loads.instances());
  }

  private static List<Instance> ofDomain(List<Instance> instances, String name) {
    return instances.stream().filter(each -> each.failureDomain().name().equals(name)).toList();
  }

  /** Returns the instances of the domain to which the caller is moved; empty if it stays. */
  private static List<Instance> elsewhere(
      FailureDomain domain,
      String callerKey,
      List<Instance> sameRegion,
      Map<String, DomainLoad> domains) {
    DomainLoad own = domains.get(domain.name());
    if (own == null || own.usableShare() >= OVERLOADED_SHARE) {
      return List.of();
    }
    String best = "";
    double bestShare = MINIMUM_ADVANTAGE * own.usableShare();
    for (Instance instance : sameRegion) {
      String name = instance.failureDomain().name();
      DomainLoad load = domains.get(name);
      if (load != null && load.usableShare() > bestShare) {
        best = name;
        bestShare = load.usableShare();
      }
    }
    if (best.isEmpty()) {
      return List.of();
    }
    double movedShare = MAXIMUM_MOVED_SHARE * (1 - own.usableShare() / bestShare);
    boolean moved = Hashing.unitInterval(Hashing.hash("moved " + callerKey)) < movedShare;
    return moved ? ofDomain(sameRegion, best) : List.of();
  }

  private record Weighted(Instance instance, double weight, double draw) {
    /** Sorts by weighted rendezvous hashing. */
    double rank() {
      return -Math.log(draw) / weight;
    }
  }

  private static List<Instance> byCapacity(
      List<Instance> instances, String callerKey, Map<String, InstanceLoad> loads) {
    OptionalDouble mean =
        instances.stream()
            .filter(each -> loads.containsKey(each.id()))
            .mapToDouble(each -> loads.get(each.id()).usableMilliprocessors())
            .average();
    if (mean.isEmpty()) {
      return instances;
    }
    List<Weighted> weighted = new ArrayList<>();
    double largest = 0;
    for (Instance instance : instances) {
      InstanceLoad load = loads.get(instance.id());
      double weight = load == null ? mean.getAsDouble() : load.usableMilliprocessors();
      largest = Math.max(largest, weight);
      double draw = Hashing.unitInterval(Hashing.hash(callerKey + ' ' + instance.id()));
      weighted.add(new Weighted(instance, weight, draw));
    }
    weighted.sort(Comparator.comparingDouble(Weighted::rank));
    List<Instance> selected = new ArrayList<>();
    for (Weighted each : weighted) {
      if (each.draw() < each.weight() / largest) {
        selected.add(each.instance());
      }
    }
    for (Weighted each : weighted) {
      if (selected.size() >= MINIMUM_ENTRIES) {
        break;
      }
      if (!selected.contains(each.instance())) {
        selected.add(each.instance());
      }
    }
    return selected;
  }
}
