package org.agatefield.daemon.core;

import java.util.List;
import org.agatefield.model.DemandSample;

/** Provides the demand measured by this instance. Thread-safe. */
public interface DemandSource {
  /** Returns one sample for each deployment with recent demand. */
  List<DemandSample> localDemand();
}
