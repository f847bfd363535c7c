package org.agatefield.daemon.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.model.Instance;

/**
 * Determines which instance grants the permits for a limited runner.
 *
 * <p>The holder is chosen by rendezvous hashing among the live instances of the runner's region, or
 * of another region if that has none, so that instances with the same view agree on it. Instances
 * of versions without permits are passed over once they have refused a request. Confined to one
 * event loop.
 */
final class PermitHolders {
  private final RunnerPermits.Fleet fleet;
  private final RunnerPermits.Runners runners;
  private final RegionalHolders holders = new RegionalHolders();
  private final Set<String> excluded = new HashSet<>(); // Instance identifiers.
  private List<Instance> answering = List.of();

  PermitHolders(RunnerPermits.Fleet fleet, RunnerPermits.Runners runners) {
    this.fleet = fleet;
    this.runners = runners;
  }

  /** Returns the holder for a runner; empty if no instance is eligible. */
  Optional<Instance> holder(RunnerEntry runner) {
    List<Instance> current = fleet.answering();
    if (current != answering) {
      update(current);
    }
    String region = runners.region(runner).orElse("");
    return holders
        .holder(runner.id(), region)
        .or(() -> holders.others(runner.id(), region).stream().findFirst());
  }

  /** Returns whether this instance is the holder for a runner. */
  boolean isSelf(RunnerEntry runner) {
    return holder(runner).filter(holder -> holder.id().equals(fleet.self().id())).isPresent();
  }

  /** Passes over an instance from now on. */
  void exclude(String instance) {
    excluded.add(instance);
    update(fleet.answering());
  }

  private void update(List<Instance> current) {
    answering = current;
    excluded.retainAll(current.stream().map(Instance::id).toList());
    holders.update(current.stream().filter(instance -> !excluded.contains(instance.id())).toList());
  }
}
