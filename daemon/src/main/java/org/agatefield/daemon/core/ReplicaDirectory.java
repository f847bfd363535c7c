package org.agatefield.daemon.core;

import java.util.List;
import java.util.Optional;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Replica;

/** Which versions are loaded where, as this instance knows it. Safe for use by any thread. */
public interface ReplicaDirectory {
  /** Returns the replicas that may be given requests. */
  List<Replica> replicas();

  /** Returns the last load report of a runner, if one has come. */
  Optional<LoadReport> loadReport(String upstream);
}
