package org.agatefield.fleet.soak;

import java.util.ArrayList;
import java.util.List;

/** Collects and prints violated guarantees with their evidence. Thread-safe. */
final class Violations {
  private final List<String> violations = new ArrayList<>();

  synchronized void add(String evidence) {
    violations.add(evidence);
    System.out.println("violation: " + evidence);
  }

  synchronized int count() {
    return violations.size();
  }
}
