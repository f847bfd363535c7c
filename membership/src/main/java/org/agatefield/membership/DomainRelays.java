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
 * Who speaks for each failure domain towards the others and the store.
 *
 * <p>Answers the load that grows with the square of the instances: in a failure domain of more than
 * {@link #LARGEST_DIRECT_DOMAIN} instances, the first by identifier is the relay; it gets what is
 * meant for the domain and hands it on. Of a region's relays only the first by its domain's name
 * watches the store. Instances with the same view agree on it. Immutable.
 */
public final class DomainRelays {
  /** Up to this many instances of a failure domain are each spoken to directly. */
  public static final int LARGEST_DIRECT_DOMAIN = 3; // the messages saved would be delay only

  private static final int MOST_SOURCES = 3; // two may be lost at once

  private final Instance self;
  private final Set<String> answering;
  private final List<Instance> neighbours = new ArrayList<>();
  private final List<Instance> directPeers = new ArrayList<>();
  private final List<Instance> relays = new ArrayList<>();
  private final List<Instance> sources = new ArrayList<>();
  private final boolean large;
  private final boolean representsDomain;

  /**
   * Computes who speaks for whom.
   *
   * @param alive the instances that are believed to live, this one included
   * @param answering those of them that are not suspected; only these become relays
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
    domains.forEach(this::place);
    List<Instance> own = domains.getOrDefault(self.failureDomain(), List.of(self));
    this.large = own.size() > LARGEST_DIRECT_DOMAIN;
    own.stream().filter(instance -> !instance.id().equals(self.id())).forEach(neighbours::add);
    if (large) {
      neighbours.stream()
          .filter(instance -> mayRelay(instance) && instance.id().compareTo(self.id()) < 0)
          .limit(MOST_SOURCES)
          .forEach(sources::add);
    }
    this.representsDomain = sources.isEmpty();
    if (large && representsDomain) {
      addSourcesOfRegion(domains);
    }
  }

  /** Adds the relays of the region's large failure domains that come before this one by name. */
  private void addSourcesOfRegion(Map<FailureDomain, List<Instance>> domains) {
    FailureDomain here = self.failureDomain();
    domains.entrySet().stream()
        .filter(entry -> entry.getKey().region().equals(here.region()))
        .filter(entry -> entry.getKey().name().compareTo(here.name()) < 0)
        .filter(entry -> entry.getValue().size() > LARGEST_DIRECT_DOMAIN)
        .sorted(Comparator.comparing(entry -> entry.getKey().name()))
        .flatMap(entry -> entry.getValue().stream().filter(this::mayRelay).limit(1))
        .limit(MOST_SOURCES)
        .forEach(sources::add);
  }

  private void place(FailureDomain domain, List<Instance> members) {
    if (domain.equals(self.failureDomain())) {
      return;
    }
    List<Instance> able = members.stream().filter(this::mayRelay).toList();
    if (members.size() <= LARGEST_DIRECT_DOMAIN || able.isEmpty()) {
      directPeers.addAll(members);
    } else {
      relays.add(able.get(0));
    }
  }

  private boolean mayRelay(Instance instance) {
    return instance.state() == InstanceState.LIVE && answering.contains(instance.id());
  }

  /** Returns the other instances of this one's failure domain. */
  public List<Instance> neighbours() {
    return List.copyOf(neighbours);
  }

  /** Returns the instances of other failure domains that no relay speaks for. */
  public List<Instance> directPeers() {
    return List.copyOf(directPeers);
  }

  /** Returns the relays of other failure domains. */
  public List<Instance> relays() {
    return List.copyOf(relays);
  }

  /**
   * Returns the instances that this one learns from instead of from the store, best first; empty if
   * it is to watch the store itself. Following them never leads back to this one.
   */
  public List<Instance> sources() {
    return List.copyOf(sources);
  }

  /** Returns whether this instance's failure domain has a relay. */
  public boolean domainHasRelay() {
    return large;
  }

  /** Returns whether this instance speaks for its failure domain, or for itself only. */
  public boolean representsDomain() {
    return representsDomain;
  }
}
