package org.agatefield.daemon.core;

import java.util.List;
import org.agatefield.model.DemandSample;

/** The demand of all instances, as far as it has reached this one. Safe for use by any thread. */
public interface DemandDirectory {
  /** Returns one sample for each deployment and region with recent demand. */
  List<DemandSample> totalDemand();
}
