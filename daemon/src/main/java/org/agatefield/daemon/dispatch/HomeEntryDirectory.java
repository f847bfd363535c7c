package org.agatefield.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;
import org.agatefield.daemon.core.EntryAddresses;
import org.agatefield.daemon.core.EntryDirectory;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.model.Address;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.routing.HomeInstances;

/**
 * Returns the home instances of a model as entry addresses, those in the caller's region first.
 *
 * <p>Invariants: the result is never empty; a leaving instance is returned only if no other is
 * live. Thread-safe.
 */
public final class HomeEntryDirectory implements EntryDirectory {
  private static final int MAXIMUM_ADDRESSES = 4;

  private final InstanceDirectory instances;
  private final HomeInstances homes;
  private final ToDoubleFunction<String> requestsPerSecond;
  private final Duration timeToLive;
  private final AtomicInteger rotation = new AtomicInteger();

  /**
   * Creates a directory.
   *
   * @param requestsPerSecond returns the demand for a model, 0 if unknown
   * @param timeToLive how long callers may cache a result
   */
  public HomeEntryDirectory(
      InstanceDirectory instances,
      HomeInstances homes,
      ToDoubleFunction<String> requestsPerSecond,
      Duration timeToLive) {
    this.instances = instances;
    this.homes = homes;
    this.requestsPerSecond = requestsPerSecond;
    this.timeToLive = timeToLive;
  }

  @Override
  public EntryAddresses entriesFor(Optional<String> model, Optional<String> region) {
    String wantedRegion = region.orElse(instances.self().failureDomain().region());
    Map<String, Instance> local = new LinkedHashMap<>();
    Map<String, Instance> remote = new LinkedHashMap<>();
    for (Instance instance : liveInstances()) {
      boolean isLocal = instance.failureDomain().region().equals(wantedRegion);
      (isLocal ? local : remote).put(instance.id(), instance);
    }
    List<Instance> chosen = new ArrayList<>(rankedInstances(model, local));
    if (chosen.size() < MAXIMUM_ADDRESSES) {
      chosen.addAll(rankedInstances(model, remote));
    }
    if (chosen.isEmpty()) {
      chosen.add(instances.self());
    }
    List<Address> addresses =
        chosen.stream().limit(MAXIMUM_ADDRESSES).map(Instance::callerAddress).toList();
    return new EntryAddresses(addresses, timeToLive);
  }

  private List<Instance> liveInstances() {
    Collection<Instance> alive = instances.alive();
    return alive.stream().filter(each -> each.state() == InstanceState.LIVE).toList();
  }

  /**
   * Returns the home instances first, rotated to spread callers over them, then the other
   * instances.
   */
  private List<Instance> rankedInstances(Optional<String> model, Map<String, Instance> candidates) {
    String name = model.orElse("");
    List<String> ranked = homes.ranked(name, candidates.keySet());
    double demand = model.map(requestsPerSecond::applyAsDouble).orElse(0.0);
    int count = model.isPresent() ? homes.homesFor(demand) : ranked.size();
    List<String> rotated = rotate(ranked, Math.min(count, ranked.size()));
    return rotated.stream().map(candidates::get).toList();
  }

  private List<String> rotate(List<String> ranked, int count) {
    List<String> rotated = new ArrayList<>(ranked);
    if (count > 1) {
      Collections.rotate(
          rotated.subList(0, count), Math.floorMod(rotation.getAndIncrement(), count));
    }
    return rotated;
  }
}
