package org.agatefield.daemon.calls;

import io.vertx.core.Vertx;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.StepHook;

/** What all executions of an instance share. Immutable. */
record CallParts(
    Vertx vertx,
    ClaimStore claims,
    ClaimRemover remover,
    HolderJudge holders,
    OutcomeQuery outcomes,
    StepHook hook,
    InvariantMonitor monitor) {}
