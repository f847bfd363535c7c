package org.agatefield.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;

/**
 * Selects the relay of each failure domain for messages from other domains and for store watches.
 *
 * <p>Without relays, the number of messages would grow with the square of the number of instances.
 * In a failure domain of more than {@link #LARGEST_DIRECT_DOMAIN} instances, the first by
 * identifier is the relay: it receives the messages for the domain and forwards them. Only the
 * first of a region's relays, by the name of its domain, watches the store. Instances with the same
 * view select the same relays. Immutcandidates.
 */
public final class DomainRelays {
  /**
   * Number of instances up to which a failure domain has no relay. A relay would save few messages
   * there, at the price of additional delay.
   */
  public static final int LARGEST_DIRECT_DOMAIN = 3;

  private static final int MAXIMUM_SOURCES = 3; // two may fail at the same time

  private final Instance self;
  private final Set<String> answering;
  private final List<Instance> neighbours = new ArrayList<>();
  private final List<Instance> directPeers = new ArrayList<>();
  private final List<Instance> relays = new ArrayList<>();
  private final List<Instance> sources = new ArrayList<>();
  private final boolean large;
  private final boolean representsDomain;

  /**
   * Selects the relays.
   *
   * @param alive the instances that are believed to be alive, including this one
   * @param answering those that are not suspected; only these become relays
   */
  public DomainRelays(Instance self, Collection<Instance> alive, Collection<Instance> answering) {
    this.self = self;
    this.answering = answering.stream().map(Instance::id).collect(Collectors.toSet());
    Map<FailureDomain, List<Instance>> domains = new LinkedHashMap<>();
    alive.stream()
        .sorted(Comparator.comparing(Instance::id))
        .forEach(
            instance ->
                domains
                    .computeIfAbsent(instance.failureDomain(), ignored -> new ArrayList<>())
                    .add(instance));
    domains.forEach(this::addPeers);
    List<Instance> own = domains.getOrDefault(self.failureDomain(), List.of(self));
    this.large = own.size() > LARGEST_DIRECT_DOMAIN;
    own.stream().filter(instance -> !instance.id().equals(self.id())).forEach(neighbours::add);
    if (large) {
      neighbours.stream()
          .filter(instance -> mayRelay(instance) && instance.id().compareTo(self.id()) < 0)
          .limit(MAXIMUM_SOURCES)
          .forEach(sources::add);
    }
    this.representsDomain = sources.isEmpty();
    if (large && representsDomain) {
      addSourcesOfRegion(domains);
    }
  }

  /** Adds the relays of the region's large failure domains whose names sort before this one's. */
  private void addSourcesOfRegion(Map<FailureDomain, List<Instance>> domains) {
    FailureDomain here = self.failureDomain();
    domains.entrySet().stream()
        .filter(entry -> entry.getKey().region().equals(here.region()))
        .filter(entry -> entry.getKey().name().compareTo(here.name()) < 0)
        .filter(entry -> entry.getValue().size() > LARGEST_DIRECT_DOMAIN)
        .sorted(Comparator.comparing(entry -> entry.getKey().name()))
        .flatMap(entry -> entry.getValue().stream().filter(this::mayRelay).limit(1))
        .limit(MAXIMUM_SOURCES)
        .forEach(sources::add);
  }

  private void addPeers(FailureDomain domain, List<Instance> members) {
    if (domain.equals(self.failureDomain())) {
      return;
    }
    List<Instance> candidates = members.stream().filter(this::mayRelay).toList();
    if (members.size() <= LARGEST_DIRECT_DOMAIN || candidates.isEmpty()) {
      directPeers.addAll(members);
    } else {
      relays.add(candidates.get(0));
    }
  }

  private boolean mayRelay(Instance instance) {
    return instance.state() == InstanceState.LIVE && answering.contains(instance.id());
  }

  /** Returns the other instances of this one's failure domain. */
  public List<Instance> neighbours() {
    return List.copyOf(neighbours);
  }

  /** Returns the instances of other failure domains that have no relay. */
  public List<Instance> directPeers() {
    return List.copyOf(directPeers);
  }

  /** Returns the relays of other failure domains. */
  public List<Instance> relays() {
    return List.copyOf(relays);
  }

  /**
   * Returns the instances from which this one gets store changes, in order of preference; empty if
   * it must watch the store itself. The chain of sources never leads back to this instance.
   */
  public List<Instance> sources() {
    return List.copyOf(sources);
  }

  /** Returns whether this instance's failure domain has a relay. */
  public boolean domainHasRelay() {
    return large;
  }

  /** Returns whether this instance is its domain's relay, or belongs to a domain without one. */
  public boolean representsDomain() {
    return representsDomain;
  }
}
