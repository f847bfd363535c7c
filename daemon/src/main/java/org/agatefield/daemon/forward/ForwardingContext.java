package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.agatefield.daemon.forward.wire.PlatformDialect;
import org.agatefield.daemon.quarantine.CrashDetector;
import org.agatefield.daemon.quarantine.RequestQuarantine;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.RunnerEstimates;

/**
 * Holds the components that requests share. Immutable.
 *
 * @param vertx runs timers
 * @param delay measures how far the event loop is behind
 * @param responseMemory limits the memory of incomplete responses
 * @param client opens connections to runners
 * @param dialect encodes and decodes the messages of callers and runners
 * @param headers determines which headers are forwarded
 * @param table the configuration in force; empty until one is known
 * @param selector selects runners
 * @param availability the leaving and backoff announcements of runners
 * @param crashes detects crashes of runners
 * @param quarantine keeps prompts that crash runners away from them
 * @param limits the request rates to which runners limit all instances together
 * @param permits distributes the rates of limited runners among the instances
 * @param room divides the room at runners among requests
 * @param estimates what requests cost and what each runner still has to do
 * @param presence the models and adapters assumed to be loaded on each runner
 * @param adapters requests adapter loads
 * @param quotas decides whether a client account's quota allows a request
 * @param budgets grants retries
 * @param demand counts demand for models
 * @param waiting requests that wait for a runner
 * @param exchanges requests without a complete response
 * @param metrics counts outcomes
 * @param stop how far the planned stop of this instance has advanced
 * @param unwritten responses that are not completely written yet
 */
record ForwardingContext(
    Vertx vertx,
    EventLoopDelay delay,
    ResponseMemory responseMemory,
    HttpClient client,
    PlatformDialect dialect,
    HeaderRules headers,
    Supplier<Optional<ForwardingTable>> table,
    RunnerSelector selector,
    RunnerAvailability availability,
    CrashDetector crashes,
    RequestQuarantine quarantine,
    RunnerLimits limits,
    RunnerPermits permits,
    RoomAllocation room,
    RunnerEstimates estimates,
    ModelPresence presence,
    AdapterProvider adapters,
    QuotaPolicy quotas,
    RetryBudgets budgets,
    DemandMeter demand,
    WaitingRequests waiting,
    Set<RequestExchange> exchanges,
    ForwardingMetrics metrics,
    StopState stop,
    UnwrittenResponses unwritten) {}
