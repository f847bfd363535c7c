package org.agatefield.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.standin.engine.OrderAnswer.Result;

/**
 * Accounts for the memory of the versions and adapters that an engine has loaded.
 *
 * <p>Invariant: the memory of all loaded and loading versions and adapters never exceeds the memory
 * of the engine. An order that would exceed it is refused and recorded as an overcommit. Confined
 * to the event loop of the engine.
 */
final class EngineMemory {
  private final long memoryMegabytes;
  private final boolean checksFencingTokens;
  private final Map<String, Allocation> versions = new LinkedHashMap<>();
  private final Map<String, Allocation> adapters = new LinkedHashMap<>();
  private final List<String> overcommits = new ArrayList<>();
  private long refusedOrders;
  private long highestFencingToken;
  private long mostUsedMegabytes;

  EngineMemory(long memoryMegabytes, boolean checksFencingTokens) {
    this.memoryMegabytes = memoryMegabytes;
    this.checksFencingTokens = checksFencingTokens;
  }

  /** Returns the model name by which generations request an adapter. */
  static String adapterKey(String version, String adapter) {
    return version + ":" + adapter;
  }

  /** Returns false and counts a refusal if the order's fencing token is outdated. */
  boolean acceptsFencingToken(OrderMessage order) {
    if (order.fencingToken() < highestFencingToken && isFenced(order) && checksFencingTokens) {
      refusedOrders++;
      return false;
    }
    highestFencingToken = Math.max(highestFencingToken, order.fencingToken());
    return true;
  }

  /** Reserves memory for a load; the caller loads the weights if the result is DONE. */
  Result reserve(OrderMessage order) {
    boolean isAdapter = order.action() == OrderMessage.OrderActionName.LOAD_ADAPTER;
    if (isAdapter && !isVersionLoaded(order.version())) {
      return refused(Result.REFUSED_INVALID);
    }
    Map<String, Allocation> entries = isAdapter ? adapters : versions;
    String key = key(order);
    if (entries.containsKey(key)) {
      return Result.DONE;
    }
    if (usedMegabytes() + order.memoryMegabytes() > memoryMegabytes) {
      overcommits.add(
          order.action() + " " + key + " " + order.memoryMegabytes() + " beside " + loadedNames());
      return refused(Result.REFUSED_NO_MEMORY);
    }
    entries.put(key, new Allocation(order.memoryMegabytes()));
    mostUsedMegabytes = Math.max(mostUsedMegabytes, usedMegabytes());
    return Result.DONE;
  }

  /** Marks a reservation as loaded unless it has been unloaded in the meantime. */
  void markLoaded(OrderMessage order) {
    boolean isAdapter = order.action() == OrderMessage.OrderActionName.LOAD_ADAPTER;
    Allocation allocation = (isAdapter ? adapters : versions).get(key(order));
    if (allocation != null) {
      allocation.loaded = true;
    }
  }

  void unloadVersion(String version) {
    versions.remove(version);
    adapters.keySet().removeIf(key -> key.startsWith(version + ":"));
  }

  void unloadAdapter(String version, String adapter) {
    adapters.remove(adapterKey(version, adapter));
  }

  boolean isVersionLoaded(String version) {
    return versions.containsKey(version) && versions.get(version).loaded;
  }

  boolean isAdapterLoaded(String key) {
    return adapters.containsKey(key) && adapters.get(key).loaded;
  }

  long usedMegabytes() {
    long used = 0;
    for (Allocation allocation : versions.values()) {
      used += allocation.memoryMegabytes;
    }
    for (Allocation allocation : adapters.values()) {
      used += allocation.memoryMegabytes;
    }
    return used;
  }

  long mostUsedMegabytes() {
    return mostUsedMegabytes;
  }

  List<String> versionNames() {
    return versions.keySet().stream().filter(this::isVersionLoaded).toList();
  }

  List<String> adapterNames() {
    return adapters.keySet().stream()
        .filter(this::isAdapterLoaded)
        .map(key -> key.substring(key.indexOf(':') + 1))
        .toList();
  }

  long highestFencingToken() {
    return checksFencingTokens ? highestFencingToken : 0;
  }

  long refusedOrders() {
    return refusedOrders;
  }

  List<String> overcommits() {
    return List.copyOf(overcommits);
  }

  private static boolean isFenced(OrderMessage order) {
    return switch (order.action()) {
      case LOAD_ADAPTER, UNLOAD_ADAPTER -> false;
      default -> true;
    };
  }

  private static String key(OrderMessage order) {
    return order.action() == OrderMessage.OrderActionName.LOAD_ADAPTER
        ? adapterKey(order.version(), order.adapter())
        : order.version();
  }

  private Result refused(Result result) {
    refusedOrders++;
    return result;
  }

  private String loadedNames() {
    return versions.keySet() + " " + adapters.keySet() + " of " + memoryMegabytes;
  }

  /** Memory taken by a version or an adapter that is loading or loaded. */
  private static final class Allocation {
    private final long memoryMegabytes;
    private boolean loaded;

    private Allocation(long memoryMegabytes) {
      this.memoryMegabytes = memoryMegabytes;
    }
  }
}
