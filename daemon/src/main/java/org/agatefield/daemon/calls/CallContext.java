package org.agatefield.daemon.calls;

import io.vertx.core.Vertx;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.InvariantMonitor;

/** What all executions of an instance share. Immutable. */
record CallContext(
    Vertx vertx,
    ClaimStore claims,
    ClaimRemover remover,
    HolderStateEvaluator holders,
    OutcomeQuery outcomes,
    FailPointHook hook,
    InvariantMonitor monitor) {}
