package org.agatefield.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The routes, services and client accounts of one version of the operator's configuration.
 *
 * <p>The routes of a host are ordered by descending prefix length. Immutable and thread safe.
 */
public final class ForwardingTable {
  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceDefinition> services = new HashMap<>();
  private final Map<String, Set<String>> modelsByService = new HashMap<>();
  private final Map<String, TreeMap<Integer, Long>> objectivesByPriority = new HashMap<>();
  private final AccountTable accounts;
  private final IngressLimits limits;

  /** Builds the table; of two routes with the same host and prefix the later one applies. */
  public ForwardingTable(
      long version,
      List<Route> routes,
      List<ServiceDefinition> services,
      AccountTable accounts,
      IngressLimits limits) {
    this.version = version;
    this.accounts = accounts;
    this.limits = limits;
    for (Route route : routes) {
      List<Route> sameHost = routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>());
      sameHost.removeIf(earlier -> earlier.pathPrefix().equals(route.pathPrefix()));
      sameHost.add(route);
    }
    routesByHost.values().forEach(sameHost -> sameHost.forEach(this::addObjective));
    Comparator<Route> longestFirst = Comparator.comparingInt(route -> -route.pathPrefix().length());
    routesByHost.values().forEach(sameHost -> sameHost.sort(longestFirst));
    services.forEach(this::addService);
  }

  private void addService(ServiceDefinition service) {
    services.put(service.name(), service);
    Set<String> models =
        service.engines().map(EnginePool::models).orElse(List.of()).stream()
            .map(ServedModel::name)
            .collect(Collectors.toSet());
    modelsByService.put(service.name(), models);
  }

  private void addObjective(Route route) {
    for (WeightedService each : route.services()) {
      objectivesByPriority
          .computeIfAbsent(each.service(), service -> new TreeMap<>())
          .merge(route.priority(), route.objectiveMilliseconds(), Math::min);
    }
  }

  /**
   * Returns the shortest objective of the routes to a service that are more urgent than a priority;
   * empty if none is.
   */
  public OptionalLong shortestObjectiveAbove(String service, int priority) {
    return objectivesByPriority
        .getOrDefault(service, new TreeMap<>())
        .headMap(priority)
        .values()
        .stream()
        .mapToLong(Long::longValue)
        .min();
  }

  /** Returns the version, which never decreases. */
  public long version() {
    return version;
  }

  /** Returns the client accounts. */
  public AccountTable accounts() {
    return accounts;
  }

  /** Returns the limits for incoming requests. */
  public IngressLimits limits() {
    return limits;
  }

  /** Returns a service by its name. */
  public Optional<ServiceDefinition> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns whether the engines of a service can load a model. */
  public boolean hasModel(String service, String model) {
    return modelsByService.getOrDefault(service, Set.of()).contains(model);
  }

  /** Returns all services. */
  public List<ServiceDefinition> services() {
    return List.copyOf(services.values());
  }

  /**
   * Returns the route with the longest prefix that matches a path.
   *
   * @param authority the host as the caller sent it, with or without a port
   * @param path the path without the query
   */
  public Optional<Route> match(String authority, String path) {
    for (Route route : routesByHost.getOrDefault(hostOf(authority), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String hostOf(String authority) {
    int colon = authority.lastIndexOf(':');
    boolean port = colon > 0 && authority.indexOf(']', colon) < 0;
    return (port ? authority.substring(0, colon) : authority).toLowerCase(Locale.ROOT);
  }
}
