package org.agatefield.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.model.LoadReport;
import org.agatefield.model.VersionId;

/**
 * An engine that executes orders and records when its memory is overcommitted. Loads take {@link
 * #LOAD_TICKS} and are reported when they are done. Confined to one thread.
 */
final class SimulatedEngine {
  static final long LOAD_TICKS = 40;

  /** A version or adapter that is loaded or being loaded. */
  private record Held(long memoryMegabytes, long readyAt) {}

  final String name;
  final long memoryMegabytes;
  final boolean checksFencingTokens;
  final List<String> overcommits = new ArrayList<>();
  private final Map<String, Held> versions = new LinkedHashMap<>();
  private final Map<String, Held> adapters = new LinkedHashMap<>();
  private int boots = 1;
  private long highestToken;
  private boolean up = true;

  SimulatedEngine(String name, long memoryMegabytes, boolean checksFencingTokens) {
    this.name = name;
    this.memoryMegabytes = memoryMegabytes;
    this.checksFencingTokens = checksFencingTokens;
  }

  boolean isUp() {
    return up;
  }

  int boots() {
    return boots;
  }

  void stop() {
    up = false;
    versions.clear();
    adapters.clear();
    highestToken = 0;
  }

  void start() {
    up = true;
    boots++;
  }

  /** Executes an order; returns false if its token is refused. */
  boolean execute(PlannedOrder order, long now) {
    if (checksFencingTokens && order.fencingToken() < highestToken) {
      return false;
    }
    highestToken = Math.max(highestToken, order.fencingToken());
    String version = order.version().engineName();
    if (order.action() == PlannedOrder.Action.LOAD) {
      versions.putIfAbsent(version, new Held(order.memoryMegabytes(), now + LOAD_TICKS));
      checkMemory("load " + order);
    }
    if (order.action() == PlannedOrder.Action.UNLOAD) {
      versions.remove(version);
      adapters.keySet().removeIf(each -> each.startsWith(version + ":"));
    }
    return true;
  }

  void loadAdapter(VersionId version, AdapterReservation adapter, long now) {
    if (up && holds(version, now)) {
      String key = version.engineName() + ":" + adapter.name();
      adapters.putIfAbsent(key, new Held(adapter.memoryMegabytes(), now + 1));
      checkMemory("load adapter " + key);
    }
  }

  boolean holds(VersionId version, long now) {
    Held held = versions.get(version.engineName());
    return held != null && held.readyAt() <= now;
  }

  LoadReport report(long now) {
    return new LoadReport(
        "boot-" + boots,
        memoryMegabytes,
        usedMegabytes(),
        0,
        0,
        names(versions, now),
        names(adapters, now).stream().map(each -> each.substring(each.indexOf(':') + 1)).toList(),
        checksFencingTokens ? highestToken : 0);
  }

  private static List<String> names(Map<String, Held> held, long now) {
    return held.entrySet().stream()
        .filter(each -> each.getValue().readyAt() <= now)
        .map(Map.Entry::getKey)
        .toList();
  }

  private long usedMegabytes() {
    return sum(versions) + sum(adapters);
  }

  private static long sum(Map<String, Held> held) {
    return held.values().stream().mapToLong(Held::memoryMegabytes).sum();
  }

  private void checkMemory(String cause) {
    if (usedMegabytes() > memoryMegabytes) {
      overcommits.add(name + " " + cause + " among " + versions.keySet() + adapters.keySet());
    }
  }
}
