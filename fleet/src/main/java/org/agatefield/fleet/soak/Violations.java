package org.agatefield.fleet.soak;

import java.util.ArrayList;
import java.util.List;

/** Gathers broken promises, with the evidence. Safe for use by any thread. */
final class Violations {
  private final List<String> found = new ArrayList<>();

  synchronized void add(String evidence) {
    found.add(evidence);
    System.out.println("violation: " + evidence);
  }

  synchronized int count() {
    return found.size();
  }
}
