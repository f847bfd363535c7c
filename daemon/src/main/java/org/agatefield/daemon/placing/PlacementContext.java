package org.agatefield.daemon.placing;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.util.Optional;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.DemandDirectory;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.LeaseView;
import org.agatefield.engine.EngineClient;
import org.agatefield.lease.LeaseGrant;
import org.agatefield.placement.LedgerTransitions;
import org.agatefield.store.ObjectStore;

/**
 * Groups the collaborators of the placement controller. Immutable.
 *
 * @param vertx runs the planning rounds
 * @param store stores the ledgers
 * @param engines sends orders and requests load reports
 * @param lease provides whether this instance is the planner
 * @param configuration provides the desired state
 * @param demand provides the demand of all instances
 * @param instances lists the leaving upstreams
 * @param monitor records violations of invariants
 * @param metrics counts moves and orders
 * @param hook called at fail points
 */
public record PlacementContext(
    Vertx vertx,
    ObjectStore store,
    EngineClient engines,
    LeaseView lease,
    ConfigurationSource configuration,
    DemandDirectory demand,
    InstanceDirectory instances,
    InvariantMonitor monitor,
    MetricRegistry metrics,
    FailPointHook hook) {
  /** Returns the grant of the planner's lease, if it was given in the store's present era. */
  Optional<LeaseGrant> currentGrant() {
    return lease
        .currentGrant()
        .filter(grant -> LedgerTransitions.eraOf(grant.fencingToken()) >= store.era());
  }
}
