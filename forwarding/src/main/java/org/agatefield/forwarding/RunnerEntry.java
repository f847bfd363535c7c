package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.agatefield.model.Address;

/**
 * The entry of a runner in the platform's list, as the runner announced itself. Immutable.
 *
 * @param id the runner's identifier; reused when the runner restarts
 * @param startTimeMilliseconds the wall-clock time of its start; distinguishes restarts of one id
 * @param number rises with each entry that its process writes; empty if it is not known
 * @param service the service that it serves
 * @param address the address that it listens on
 * @param failureDomain the name of its failure domain
 * @param slots requests that it runs concurrently
 * @param draining whether it is leaving and accepts no new requests
 * @param remainingMilliseconds the time until it leaves, if announced
 * @param models the models that it has loaded; empty if it does not report models
 * @param inHostMemory models whose weights are in its host memory
 * @param onDisk models whose weights are on its disk
 */
public record RunnerEntry(
    String id,
    long startTimeMilliseconds,
    OptionalLong number,
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

  /** Returns whether it reports that a model is loaded. */
  public boolean holds(String model) {
    return models.stream().flatMap(List::stream).anyMatch(held -> held.name().equals(model));
  }
}
