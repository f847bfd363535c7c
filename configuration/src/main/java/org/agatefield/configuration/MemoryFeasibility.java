package org.agatefield.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatefield.model.Adapter;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.model.VersionId;

/**
 * Whether every version with a weight above 0 fits on its minimum number of different runners, with
 * the memory of all adapters of its deployment beside each replica.
 *
 * <p>The proof that it fits is a packing. A document for which neither of the ways of packing that
 * are tried finds one is refused, even if a packing may exist. Immutable.
 *
 * @param packing for each runner the versions that lie on it; incomplete if there are faults
 * @param faults what does not fit, with the arithmetic; empty if everything fits
 */
public record MemoryFeasibility(
    Map<String, List<VersionId>> packing, List<ConfigurationFault> faults) {

  /** A version that must be resident, and how much memory each replica of it takes. */
  private record Requirement(VersionId version, String path, long megabytes, int replicas) {}

  /** The outcome of one way of packing. */
  private record Attempt(Map<String, List<VersionId>> packing, List<Requirement> unplaced) {}

  /** Returns the feasibility of a document that keeps the rules between fields. */
  public static MemoryFeasibility of(ConfigurationDocument document) {
    List<Requirement> requirements = requirements(document);
    List<Upstream> runners =
        document.upstreams().stream()
            .filter(each -> each.kind() == UpstreamKind.MODEL_RUNNER)
            .toList();
    Attempt bestFit = pack(requirements, runners, true);
    if (bestFit.unplaced().isEmpty()) {
      return new MemoryFeasibility(bestFit.packing(), List.of());
    }
    Attempt worstFit = pack(requirements, runners, false);
    if (worstFit.unplaced().isEmpty()) {
      return new MemoryFeasibility(worstFit.packing(), List.of());
    }
    return new MemoryFeasibility(bestFit.packing(), faults(requirements, runners, bestFit));
  }

  /** Returns the memory that one replica of a version takes, with all adapters beside it. */
  public static long replicaMegabytes(
      ConfigurationDocument document, Deployment deployment, DeploymentVersion version) {
    return version.memoryMegabytes() + adapterMegabytes(document, deployment);
  }

  private static long adapterMegabytes(ConfigurationDocument document, Deployment deployment) {
    return document.adapters().stream()
        .filter(each -> each.deployment().equals(deployment.name()))
        .mapToLong(Adapter::memoryMegabytes)
        .sum();
  }

  private static List<Requirement> requirements(ConfigurationDocument document) {
    List<Requirement> requirements = new ArrayList<>();
    for (int i = 0; i < document.deployments().size(); i++) {
      Deployment deployment = document.deployments().get(i);
      for (int j = 0; j < deployment.versions().size(); j++) {
        DeploymentVersion version = deployment.versions().get(j);
        if (version.weight() > 0) {
          String path = "$.deployments[" + i + "].versions[" + j + "]";
          VersionId id = new VersionId(deployment.name(), version.name());
          long megabytes = replicaMegabytes(document, deployment, version);
          requirements.add(new Requirement(id, path, megabytes, deployment.minimumReplicas()));
        }
      }
    }
    requirements.sort(Comparator.comparingLong(Requirement::megabytes).reversed());
    return requirements;
  }

  private static Attempt pack(
      List<Requirement> requirements, List<Upstream> runners, boolean smallestFirst) {
    Map<String, Long> free = new LinkedHashMap<>();
    Map<String, List<VersionId>> packing = new LinkedHashMap<>();
    for (Upstream runner : runners) {
      free.put(runner.name(), runner.memoryMegabytes());
      packing.put(runner.name(), new ArrayList<>());
    }
    Comparator<String> byFree = Comparator.comparingLong(free::get);
    List<Requirement> unplaced = new ArrayList<>();
    for (Requirement requirement : requirements) {
      List<String> order = new ArrayList<>(free.keySet());
      order.sort(smallestFirst ? byFree : byFree.reversed());
      List<String> chosen =
          order.stream()
              .filter(each -> free.get(each) >= requirement.megabytes())
              .limit(requirement.replicas())
              .toList();
      if (chosen.size() < requirement.replicas()) {
        unplaced.add(requirement);
        continue;
      }
      for (String runner : chosen) {
        free.merge(runner, -requirement.megabytes(), Long::sum);
        packing.get(runner).add(requirement.version());
      }
    }
    return new Attempt(packing, unplaced);
  }

  private static List<ConfigurationFault> faults(
      List<Requirement> requirements, List<Upstream> runners, Attempt attempt) {
    long needed = requirements.stream().mapToLong(each -> each.megabytes() * each.replicas()).sum();
    long available = runners.stream().mapToLong(Upstream::memoryMegabytes).sum();
    Map<VersionId, Long> sizes = new HashMap<>();
    requirements.forEach(each -> sizes.put(each.version(), each.megabytes()));
    List<String> left = new ArrayList<>();
    for (Upstream runner : runners) {
      long taken = attempt.packing().get(runner.name()).stream().mapToLong(sizes::get).sum();
      left.add(runner.name() + " " + (runner.memoryMegabytes() - taken));
    }
    List<ConfigurationFault> faults = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (Requirement requirement : attempt.unplaced()) {
      if (seen.add(requirement.path())) {
        faults.add(fault(requirement, needed, available, left));
      }
    }
    return faults;
  }

  private static ConfigurationFault fault(
      Requirement requirement, long needed, long available, List<String> left) {
    String found =
        requirement.version()
            + " needs "
            + requirement.megabytes()
            + " MB (with its adapters) on "
            + requirement.replicas()
            + " different runners";
    String rule =
        "all resident versions need "
            + needed
            + " MB and the runners have "
            + available
            + " MB; MB left on each runner after packing the others: "
            + String.join(", ", left);
    return new ConfigurationFault(requirement.path(), found, rule);
  }
}
