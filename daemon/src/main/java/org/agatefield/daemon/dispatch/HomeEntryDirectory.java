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
 * Names the home instances of a model, those in the caller's region first.
 *
 * <p>Invariants: never empty; a leaving instance is named only if there is no other. Safe for use
 * by any thread.
 */
public final class HomeEntryDirectory implements EntryDirectory {
  private static final int MAXIMUM_ADDRESSES = 4;

  private final InstanceDirectory instances;
  private final HomeInstances homes;
  private final ToDoubleFunction<String> requestsPerSecond;
  private final Duration timeToLive;
  private final AtomicInteger turn = new AtomicInteger();

  /**
   * Creates a directory.
   *
   * @param requestsPerSecond the demand for a model, 0 if it is not known
   * @param timeToLive how long callers may keep an answer
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
    Map<String, Instance> near = new LinkedHashMap<>();
    Map<String, Instance> far = new LinkedHashMap<>();
    for (Instance instance : takingWork()) {
      boolean here = instance.failureDomain().region().equals(wantedRegion);
      (here ? near : far).put(instance.id(), instance);
    }
    List<Instance> chosen = new ArrayList<>(spread(model, near));
    if (chosen.size() < MAXIMUM_ADDRESSES) {
      chosen.addAll(spread(model, far));
    }
    if (chosen.isEmpty()) {
      chosen.add(instances.self());
    }
    List<Address> addresses =
        chosen.stream().limit(MAXIMUM_ADDRESSES).map(Instance::callerAddress).toList();
    return new EntryAddresses(addresses, timeToLive);
  }

  private List<Instance> takingWork() {
    Collection<Instance> alive = instances.alive();
    return alive.stream().filter(each -> each.state() == InstanceState.LIVE).toList();
  }

  /** The homes come first, rotated so that callers are spread over them; then the others. */
  private List<Instance> spread(Optional<String> model, Map<String, Instance> candidates) {
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
      Collections.rotate(rotated.subList(0, count), Math.floorMod(turn.getAndIncrement(), count));
    }
    return rotated;
  }
}
