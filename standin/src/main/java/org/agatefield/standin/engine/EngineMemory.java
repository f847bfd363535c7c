package org.agatefield.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.standin.engine.OrderAnswer.Result;

/**
 * What an engine has loaded, counted by the engine itself.
 *
 * <p>Invariant: the memory of all loaded and loading things never exceeds what the engine has; an
 * order that would exceed it is refused and recorded as an overcommit. Confined to the event loop
 * of the engine.
 */
final class EngineMemory {
  private final long memoryMegabytes;
  private final boolean checksFencingTokens;
  private final Map<String, Entry> versions = new LinkedHashMap<>();
  private final Map<String, Entry> adapters = new LinkedHashMap<>();
  private final List<String> overcommits = new ArrayList<>();
  private long refusedOrders;
  private long highestFencingToken;
  private long mostUsedMegabytes;

  EngineMemory(long memoryMegabytes, boolean checksFencingTokens) {
    this.memoryMegabytes = memoryMegabytes;
    this.checksFencingTokens = checksFencingTokens;
  }

  /** Returns the name that generations ask for an adapter by. */
  static String adapterKey(String version, String adapter) {
    return version + ":" + adapter;
  }

  /** Returns false, and counts a refusal, if the order's fencing token is old. */
  boolean admits(OrderMessage order) {
    if (order.fencingToken() < highestFencingToken && isFenced(order) && checksFencingTokens) {
      refusedOrders++;
      return false;
    }
    highestFencingToken = Math.max(highestFencingToken, order.fencingToken());
    return true;
  }

  /** Takes memory for what is to be loaded; the caller loads it if the result is DONE. */
  Result reserve(OrderMessage order) {
    boolean isAdapter = order.action() == OrderMessage.OrderActionName.LOAD_ADAPTER;
    if (isAdapter && !isVersionLoaded(order.version())) {
      return refused(Result.REFUSED_INVALID);
    }
    Map<String, Entry> entries = isAdapter ? adapters : versions;
    String key = key(order);
    if (entries.containsKey(key)) {
      return Result.DONE;
    }
    if (usedMegabytes() + order.memoryMegabytes() > memoryMegabytes) {
      overcommits.add(
          order.action() + " " + key + " " + order.memoryMegabytes() + " beside " + loadedNames());
      return refused(Result.REFUSED_NO_MEMORY);
    }
    entries.put(key, new Entry(order.memoryMegabytes()));
    mostUsedMegabytes = Math.max(mostUsedMegabytes, usedMegabytes());
    return Result.DONE;
  }

  /** Marks what was reserved as loaded, unless it was unloaded in between. */
  void loaded(OrderMessage order) {
    boolean isAdapter = order.action() == OrderMessage.OrderActionName.LOAD_ADAPTER;
    Entry entry = (isAdapter ? adapters : versions).get(key(order));
    if (entry != null) {
      entry.loaded = true;
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
    for (Entry entry : versions.values()) {
      used += entry.memoryMegabytes;
    }
    for (Entry entry : adapters.values()) {
      used += entry.memoryMegabytes;
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

  /** Something that takes memory, loading at first and then loaded. */
  private static final class Entry {
    private final long memoryMegabytes;
    private boolean loaded;

    private Entry(long memoryMegabytes) {
      this.memoryMegabytes = memoryMegabytes;
    }
  }
}
