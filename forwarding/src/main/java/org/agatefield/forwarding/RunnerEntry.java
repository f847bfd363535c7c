package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.agatefield.model.Address;

/**
 * What a runner says of itself in the platform's list. Immutable.
 *
 * @param id the runner's identifier; used again by a runner that starts again
 * @param startTimeMilliseconds the wall-clock time of its start; tells two lives of one id apart
 * @param service the service that it serves
 * @param address where it listens
 * @param failureDomain the name of its failure domain
 * @param slots requests that it runs at once
 * @param draining whether it is leaving and takes no new work
 * @param remainingMilliseconds how long it will still be there, if it said so
 * @param models the models that it holds; empty if it says nothing about models
 * @param inHostMemory models whose weights lie in its host memory
 * @param onDisk models whose weights lie on its disk
 */
public record RunnerEntry(
    String id,
    long startTimeMilliseconds,
    String service,
    Address address,
    String failureDomain,
    int slots,
    boolean draining,
    OptionalLong remainingMilliseconds,
    Optional<List<LoadedModel>> models,
    Set<String> inHostMemory,
    Set<String> onDisk) {
  /** Copies the collections. */
  public RunnerEntry {
    models = models.map(List::copyOf);
    inHostMemory = Set.copyOf(inHostMemory);
    onDisk = Set.copyOf(onDisk);
  }

  /** Returns whether it holds a model, as far as it says. */
  public boolean holds(String model) {
    return models.stream().flatMap(List::stream).anyMatch(held -> held.name().equals(model));
  }
}
