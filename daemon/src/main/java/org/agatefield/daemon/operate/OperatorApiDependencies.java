package org.agatefield.daemon.operate;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.agatefield.daemon.configuration.ConfigurationManager;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.LeaseView;
import org.agatefield.daemon.placing.LedgerDirectory;

/**
 * The components that {@link OperatorApi} uses. Immutable.
 *
 * @param configuration reads and applies the configuration
 * @param instances lists the entry instances and the leaving upstreams
 * @param ledgers lists the ledgers and the replicas
 * @param plannerLease shows whether this instance is the planner
 * @param monitor counts invariant violations
 * @param drain starts a graceful shutdown of this instance; completes when it has started
 */
public record OperatorApiDependencies(
    ConfigurationManager configuration,
    InstanceDirectory instances,
    LedgerDirectory ledgers,
    LeaseView plannerLease,
    InvariantMonitor monitor,
    Supplier<CompletableFuture<Void>> drain) {}
