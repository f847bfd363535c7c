package org.agatefield.forwarding.check;

import java.util.ArrayList;
import java.util.List;

/** Finds what is not wrong for an instance, but has no effect or contradicts itself. Stateless. */
public final class ForwardingCheck {
  private ForwardingCheck() {}

  /** Returns all findings about a configuration. */
  public static List<Finding> check(ForwardingDocument document, FieldNames names) {
    List<Finding> findings = new ArrayList<>(UnreachableEntries.check(document, names));
    findings.addAll(ContradictoryLimits.check(document, names));
    return findings;
  }
}
