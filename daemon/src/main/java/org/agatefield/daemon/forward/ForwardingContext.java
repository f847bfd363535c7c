package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.agatefield.daemon.forward.wire.PlatformDialect;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.RunnerLoads;
import org.agatefield.forwarding.SendPolicy;

/**
 * What every request needs. Immutable.
 *
 * @param vertx runs timers
 * @param delay tells how far the event loop is behind
 * @param answerMemory bounds the answers that are not whole yet
 * @param client opens connections to runners
 * @param dialect how callers and runners are talked to
 * @param headers which headers are passed on
 * @param table the configuration in force; empty before any is known
 * @param selector finds runners
 * @param notices what runners say of themselves in their answers
 * @param sending decides whether a request is sent, waits or is refused
 * @param loads what is known of the work at runners
 * @param presence what is known of models and adapters at runners
 * @param adapters has adapters loaded
 * @param quotas decides whether a client account's quota allows a request
 * @param budgets grants repeated requests
 * @param demand counts demand for models
 * @param waiting requests that wait for a runner
 * @param exchanges requests that are not answered yet
 * @param metrics counts outcomes
 * @param leaving whether new connections are to go elsewhere
 * @param refusing whether new requests are refused, since the process ends soon
 */
record ForwardingContext(
    Vertx vertx,
    EventLoopDelay delay,
    ResponseMemory answerMemory,
    HttpClient client,
    PlatformDialect dialect,
    HeaderRules headers,
    Supplier<Optional<ForwardingTable>> table,
    RunnerSelector selector,
    RunnerAvailability notices,
    SendPolicy sending,
    RunnerLoads loads,
    ModelPresence presence,
    AdapterProvider adapters,
    QuotaPolicy quotas,
    RetryBudgets budgets,
    DemandMeter demand,
    WaitingRequests waiting,
    Set<RequestExchange> exchanges,
    ForwardingMetrics metrics,
    BooleanSupplier leaving,
    BooleanSupplier refusing) {}
