package org.agatefield.daemon.core;

import java.util.List;
import org.agatefield.model.DemandSample;

/** The demand that this instance measured itself. Safe for use by any thread. */
public interface DemandSource {
  /** Returns one sample for each deployment with recent demand. */
  List<DemandSample> localDemand();
}
