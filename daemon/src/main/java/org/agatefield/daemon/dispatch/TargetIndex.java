package org.agatefield.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.ReplicaDirectory;
import org.agatefield.model.Adapter;
import org.agatefield.model.Caller;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.Replica;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.model.VersionId;
import org.agatefield.routing.VersionSplit;

/**
 * Finds the upstreams that hold a target, by indexes instead of a scan of the configuration for
 * each request.
 *
 * <p>An index is rebuilt when the configuration or the replica list is a different object than
 * before. Guarded by the dispatcher's lock.
 */
final class TargetIndex {
  private final ConfigurationSource configurationSource;
  private final ReplicaDirectory replicaDirectory;
  private ConfigurationDocument document;
  private List<Replica> replicas = List.of();
  private Map<String, Deployment> deployments = Map.of();
  private Set<String> leaving = Set.of();
  private Map<String, Caller> callers = Map.of();
  private Map<String, Adapter> adapters = Map.of();
  private Map<String, Upstream> upstreams = Map.of();
  private Map<String, List<Upstream>> serviceRunners = Map.of();
  private Map<VersionId, List<Replica>> holders = Map.of();

  TargetIndex(ConfigurationSource configurationSource, ReplicaDirectory replicaDirectory) {
    this.configurationSource = configurationSource;
    this.replicaDirectory = replicaDirectory;
  }

  /** Updates the indexes; leaving upstreams are no longer returned as holders. */
  void refresh(Set<String> leavingUpstreams) {
    leaving = leavingUpstreams;
    refreshConfiguration();
    List<Replica> currentReplicas = replicaDirectory.replicas();
    if (currentReplicas != replicas) {
      replicas = currentReplicas;
      holders = replicas.stream().collect(Collectors.groupingBy(Replica::version));
    }
  }

  private void refreshConfiguration() {
    ConfigurationDocument current = configurationSource.current();
    if (current != document) {
      document = current;
      deployments = byName(current.deployments(), Deployment::name);
      adapters = byName(current.adapters(), Adapter::name);
      upstreams = byName(current.upstreams(), Upstream::name);
      serviceRunners =
          current.upstreams().stream()
              .filter(each -> each.kind() == UpstreamKind.SERVICE_RUNNER)
              .filter(each -> each.service().isPresent())
              .collect(Collectors.groupingBy(each -> each.service().get()));
      callers = byName(current.callers(), Caller::name);
    }
  }

  int weightOf(String caller) {
    Caller configured = callers.get(caller);
    return configured == null ? 1 : configured.weight();
  }

  boolean hasService(String service) {
    return document.service(service).isPresent();
  }

  Optional<Upstream> upstream(String name) {
    return Optional.ofNullable(upstreams.get(name));
  }

  /** Returns the upstreams that hold a target, without leaving ones. */
  List<Holder> holders(Target target) {
    if (target.version().isEmpty()) {
      return serviceRunners.getOrDefault(target.deployment(), List.of()).stream()
          .filter(runner -> !leaving.contains(runner.name()))
          .map(runner -> new Holder(runner, false))
          .toList();
    }
    List<Holder> found = new ArrayList<>();
    for (Replica replica : holders.getOrDefault(target.version().get(), List.of())) {
      Upstream upstream = upstreams.get(replica.upstream());
      if (upstream != null && !leaving.contains(upstream.name()) && hasAdapter(replica, target)) {
        found.add(new Holder(upstream, replica.draining()));
      }
    }
    return found;
  }

  /** An upstream that holds a target, and whether its replica is draining. */
  record Holder(Upstream upstream, boolean draining) {}

  /** Returns the deployment for a model name, which names a deployment or an adapter. */
  Optional<Deployment> deploymentOf(String model) {
    Deployment deployment = deployments.get(model);
    if (deployment != null) {
      return Optional.of(deployment);
    }
    return Optional.ofNullable(adapters.get(model))
        .map(adapter -> deployments.get(adapter.deployment()));
  }

  /**
   * Returns the target of a request. The version is chosen by weight; if no upstream holds it,
   * another version is used.
   */
  Target target(String model, Deployment deployment, String requestHash) {
    Optional<String> adapter =
        deployments.containsKey(model) ? Optional.empty() : Optional.of(model);
    List<Target> targets = new ArrayList<>();
    for (DeploymentVersion version : VersionSplit.ordered(deployment, requestHash)) {
      targets.add(Target.of(new VersionId(deployment.name(), version.name()), adapter));
    }
    return targets.stream()
        .filter(target -> !holders(target).isEmpty())
        .findFirst()
        .or(() -> loadedVersion(deployment, adapter))
        .orElse(targets.get(0));
  }

  /** Returns a version that is still loaded although the configuration assigns it no requests. */
  private Optional<Target> loadedVersion(Deployment deployment, Optional<String> adapter) {
    return holders.keySet().stream()
        .filter(version -> version.deployment().equals(deployment.name()))
        .map(version -> Target.of(version, adapter))
        .filter(target -> !holders(target).isEmpty())
        .findFirst();
  }

  /** Returns whether the replica has memory reserved for the target's adapter, if it has one. */
  private static boolean hasAdapter(Replica replica, Target target) {
    return target.adapter().isEmpty() || replica.adapters().contains(target.adapter().get());
  }

  private static <T> Map<String, T> byName(List<T> values, Function<T, String> name) {
    Map<String, T> index = new HashMap<>();
    values.forEach(value -> index.put(name.apply(value), value));
    return index;
  }
}
