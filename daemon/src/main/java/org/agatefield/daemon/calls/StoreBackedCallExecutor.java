package org.agatefield.daemon.calls;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.agatefield.daemon.core.Dispatcher;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.NonRepeatableCall;
import org.agatefield.daemon.core.NonRepeatableCallExecutor;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.idempotency.CallAttempt;
import org.agatefield.idempotency.Claim;
import org.agatefield.idempotency.ClaimNames;
import org.agatefield.idempotency.RetentionPolicy;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;
import org.agatefield.store.CircuitBreakingStore;
import org.agatefield.store.ObjectStore;

/**
 * Executes non-repeatable calls at most once, by means of claims in the platform's store.
 *
 * <p>Calls with the same key at this instance join one execution; calls at other instances are
 * coordinated through the store. An execution stays registered until its outcome is in the store,
 * so that retries at this instance join it until then. Thread-safe.
 */
public final class StoreBackedCallExecutor implements NonRepeatableCallExecutor, AutoCloseable {
  private static final Duration MAXIMUM_STORE_PAUSE = Duration.ofMillis(500);

  private final RecentOutcomeCache recent = new RecentOutcomeCache();
  private final Map<String, ClaimExecution> executions = new ConcurrentHashMap<>();
  private final CallContext context;
  private final InstanceDirectory instances;
  private final CallLimits limits;
  private final RetentionPolicy retention;
  private final MetricRegistry metrics;

  /** Creates the executor of an instance. */
  public StoreBackedCallExecutor(
      Vertx vertx,
      ObjectStore store,
      InstanceDirectory instances,
      OutcomeQuery outcomes,
      CallLimits limits,
      FailPointHook hook,
      InvariantMonitor monitor,
      MetricRegistry metrics) {
    ObjectStore pausing = new CircuitBreakingStore(store, MAXIMUM_STORE_PAUSE);
    ClaimStore claims = new ClaimStore(pausing);
    EraBeginnings beginnings = new EraBeginnings(pausing, limits.retentionPolicy());
    ClaimRemover remover = new ClaimRemover(vertx, claims, limits.lateEffectWindow());
    HolderStateEvaluator holderStates =
        new HolderStateEvaluator(instances, remover, limits.holderGrace());
    this.context =
        new CallContext(
            vertx,
            claims,
            beginnings,
            remover,
            new ClaimRewriter(vertx, claims),
            holderStates,
            outcomes,
            hook,
            monitor);
    this.instances = instances;
    this.limits = limits;
    this.retention = limits.retentionPolicy();
    this.metrics = metrics;
    metrics.register("agatefield.calls.running", (Gauge<Integer>) this::runningCalls);
    metrics.register("agatefield.calls.claimsToRemove", (Gauge<Integer>) remover::size);
  }

  @Override
  public CompletableFuture<ServiceResponse> execute(
      NonRepeatableCall call,
      ServiceRequest request,
      Dispatcher dispatcher,
      NonRepeatableCall.Sender sender) {
    if (retention.isExpired(call.key(), System.currentTimeMillis())) {
      return CompletableFuture.failedFuture(
          new AgatefieldException(
              ErrorKind.KEY_EXPIRED,
              "the key is older than the retention of outcomes; nothing was sent"));
    }
    String name = ClaimNames.nameOf(call.caller(), call.service().name(), call.key());
    Optional<CompletableFuture<ServiceResponse>> cached = recent.find(name, call.bodySha256());
    if (cached.isPresent()) {
      metrics.counter("agatefield.calls.answeredFromMemory").inc();
      return cached.get();
    }
    ClaimExecution created = newExecution(call, request, dispatcher, sender, name);
    ClaimExecution running = executions.putIfAbsent(name, created);
    if (running == null) {
      metrics.counter("agatefield.calls.started").inc();
      created.start();
      return withDeadline(created, call);
    }
    if (!running.bodyHash().equals(call.bodySha256())) {
      return CompletableFuture.failedFuture(
          new AgatefieldException(
              ErrorKind.KEY_REUSED, "the key was used before with another request"));
    }
    metrics.counter("agatefield.calls.joined").inc();
    return withDeadline(running, call);
  }

  /**
   * Writes down that an era of the store has begun, and writes what this instance knows of calls
   * again; call it when the store has come back from an older copy.
   */
  public void historyLost(long era) {
    context.beginnings().begin(era);
    executions.forEach(
        (name, execution) -> context.rewriter().add(name, execution::claimOfRunningCall));
    recent
        .answered()
        .forEach((name, claim) -> context.rewriter().add(name, () -> Optional.of(claim)));
  }

  @Override
  public int runningCalls() {
    return (int) executions.values().stream().filter(ClaimExecution::isClaimed).count();
  }

  @Override
  public void close() {
    context.remover().close();
    context.rewriter().close();
  }

  private ClaimExecution newExecution(
      NonRepeatableCall call,
      ServiceRequest request,
      Dispatcher dispatcher,
      NonRepeatableCall.Sender sender,
      String name) {
    long now = System.nanoTime();
    long joinLimit = Math.min(call.remaining().toNanos(), limits.joinLimit().toNanos());
    CallAttempt arrival =
        new CallAttempt(
            UUID.randomUUID().toString(),
            call.bodySha256(),
            now + call.remaining().toNanos(),
            now + joinLimit,
            call.service().outcomePath().isPresent());
    return new ClaimExecution(
        context,
        call,
        request,
        dispatcher,
        sender,
        name,
        arrival,
        claimOf(call, arrival.attemptId()),
        new ArrivalListener(name, call));
  }

  /** Caches the reply to an arrival and deregisters it when it has ended. Thread-safe. */
  private final class ArrivalListener implements ClaimExecution.Listener {
    private final String name;
    private final NonRepeatableCall call;

    ArrivalListener(String name, NonRepeatableCall call) {
      this.name = name;
      this.call = call;
    }

    @Override
    public void replied(ServiceResponse answer, Throwable failure) {
      recent.cache(name, claimOf(call, UUID.randomUUID().toString()), answer, failure);
    }

    @Override
    public void ended(ClaimExecution execution) {
      executions.remove(name, execution);
    }
  }

  private Claim<ServiceResponse> claimOf(NonRepeatableCall call, String attemptId) {
    long now = System.currentTimeMillis();
    return new Claim<>(
        attemptId,
        instances.self().id(),
        call.bodySha256(),
        now,
        call.service().timeoutMilliseconds(),
        retention.keepUntil(call.key(), now) + call.service().timeoutMilliseconds(),
        Optional.empty());
  }

  /**
   * Returns the shared reply, or a failure at the caller's own deadline; the execution continues.
   */
  private CompletableFuture<ServiceResponse> withDeadline(
      ClaimExecution execution, NonRepeatableCall call) {
    CompletableFuture<ServiceResponse> own = new CompletableFuture<>();
    long timer =
        context
            .vertx()
            .setTimer(
                Math.max(1, call.remaining().toMillis()),
                fired -> own.completeExceptionally(deadlineExceeded()));
    execution
        .reply()
        .whenComplete(
            (answer, failure) -> {
              context.vertx().cancelTimer(timer);
              if (failure == null) {
                own.complete(answer);
              } else {
                own.completeExceptionally(failure);
              }
            });
    return own;
  }

  private static AgatefieldException deadlineExceeded() {
    return new AgatefieldException(
        ErrorKind.DEADLINE_EXCEEDED,
        RunState.UNKNOWN,
        "the deadline passed; a retry with the same key returns the outcome once it is known",
        null,
        null);
  }
}
