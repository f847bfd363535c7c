package org.agatefield.standin.store;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts calls by verb and kind, and open watches. Thread-safe; state is guarded by the object's
 * lock.
 */
final class CallCounts {
  private final Map<String, Map<String, Long>> calls = new TreeMap<>();
  private long waitingWatches;

  synchronized void count(String verb, String plural) {
    calls.computeIfAbsent(verb, created -> new TreeMap<>()).merge(plural, 1L, Long::sum);
  }

  synchronized void addWaitingWatches(int difference) {
    waitingWatches += difference;
  }

  synchronized ObjectNode toJson() {
    ObjectNode root = new ObjectMapper().createObjectNode();
    long total = 0;
    ObjectNode verbs = root.putObject("calls");
    for (Map.Entry<String, Map<String, Long>> verb : calls.entrySet()) {
      ObjectNode kinds = verbs.putObject(verb.getKey());
      verb.getValue().forEach(kinds::put);
      total += verb.getValue().values().stream().mapToLong(Long::longValue).sum();
    }
    root.put("total", total);
    root.put("waitingWatches", waitingWatches);
    return root;
  }
}
