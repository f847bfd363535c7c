package org.agatefield.forwarding.check;

import java.util.ArrayList;
import java.util.List;

/** Collects findings. For use by one thread. */
final class FindingList {
  private final FieldNames names;
  private final List<Finding> findings = new ArrayList<>();

  FindingList(FieldNames names) {
    this.names = names;
  }

  void add(Located<?> entry, Field field, String found, String expected) {
    findings.add(new Finding(names.path(entry, field), found, expected));
  }

  void addIf(boolean wrong, Located<?> entry, Field field, String found, String expected) {
    if (wrong) {
      add(entry, field, found, expected);
    }
  }

  List<Finding> toList() {
    return List.copyOf(findings);
  }
}
