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
 * The components that {@link CallerApi} uses. Immutable.
 *
 * @param vertx runs the event loops
 * @param configuration the configuration in force
 * @param dispatcher admits requests and chooses upstreams
 * @param engines client for model engines
 * @param adapterLoader loads adapters before a request is sent
 * @param nonRepeatableCalls executes non-repeatable service calls
 * @param entries selects the instances that callers should use
 * @param instances provides this instance's own entry
 * @param shutdown tracks running requests and whether new ones are accepted
 * @param monitor checks invariants and records violations
 * @param metrics counts requests and errors
 * @param limits request limits from the settings
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
