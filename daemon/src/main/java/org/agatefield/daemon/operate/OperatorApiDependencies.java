package org.agatefield.daemon.operate;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.agatefield.daemon.configuration.ConfigurationManager;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.LeaseView;
import org.agatefield.daemon.placing.LedgerDirectory;

/**
 * What the operators' API shows and drives. Immutable.
 *
 * @param configuration the configuration in force
 * @param instances the entry instances and the leaving upstreams
 * @param ledgers the ledgers and the replicas
 * @param plannerLease whether this instance is the planner
 * @param monitor counts violations
 * @param drain begins to shut this instance down gracefully; completes when it has begun
 */
public record OperatorApiDependencies(
    ConfigurationManager configuration,
    InstanceDirectory instances,
    LedgerDirectory ledgers,
    LeaseView plannerLease,
    InvariantMonitor monitor,
    Supplier<CompletableFuture<Void>> drain) {}
