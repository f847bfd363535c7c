package org.agatefield.daemon.placing;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.DemandDirectory;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.LeaseView;
import org.agatefield.engine.EngineClient;
import org.agatefield.store.ObjectStore;

/**
 * What the planner's duty works with. Immutable.
 *
 * @param vertx runs the rounds
 * @param store holds the ledgers
 * @param engines sends orders
 * @param lease whether this instance is the planner
 * @param configuration what is wanted
 * @param demand of all instances
 * @param instances names the leaving upstreams
 * @param monitor told of violations
 * @param metrics counts moves and orders
 * @param hook told of steps
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
    FailPointHook hook) {}
