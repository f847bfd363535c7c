package org.agatefield.daemon.core;

import java.util.List;
import org.agatefield.model.DemandSample;

/** Provides the demand of all instances, as far as it was reported to this one. Thread-safe. */
public interface DemandDirectory {
  /** Returns one sample for each deployment and region with recent demand. */
  List<DemandSample> totalDemand();
}
