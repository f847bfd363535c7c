package org.agatefield.daemon.core;

import java.util.List;
import java.util.Optional;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Replica;

/** Lists which upstreams have which versions loaded, as known to this instance. Thread-safe. */
public interface ReplicaDirectory {
  /** Returns the replicas that may receive requests. */
  List<Replica> replicas();

  /** Returns the latest load report of a runner, if one was received. */
  Optional<LoadReport> loadReport(String upstream);
}
