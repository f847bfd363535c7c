package org.agatefield.daemon.http;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.agatefield.daemon.core.AdapterLoader;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.Dispatcher;
import org.agatefield.daemon.core.EntryDirectory;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.NonRepeatableCallExecutor;
import org.agatefield.engine.EngineClient;
import org.agatefield.settings.DaemonSettings;

/**
 * What the callers' interface is built on. Immutable.
 *
 * @param vertx runs the event loops
 * @param configuration the configuration in force
 * @param dispatcher admits requests and chooses upstreams
 * @param engines talks to model engines
 * @param adapterLoader loads adapters before a request is sent
 * @param nonRepeatableCalls runs calls that must not repeat
 * @param entries answers which instances to use
 * @param instances knows this instance
 * @param shutdown knows whether this instance takes new requests
 * @param monitor reported of broken promises
 * @param metrics counts requests and errors
 * @param limits bounds of the work
 */
public record CallerApiDependencies(
    Vertx vertx,
    ConfigurationSource configuration,
    Dispatcher dispatcher,
    EngineClient engines,
    AdapterLoader adapterLoader,
    NonRepeatableCallExecutor nonRepeatableCalls,
    EntryDirectory entries,
    InstanceDirectory instances,
    ShutdownCoordinator shutdown,
    InvariantMonitor monitor,
    MetricRegistry metrics,
    DaemonSettings.Limits limits) {}
