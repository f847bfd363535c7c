package org.agatefield.daemon.calls;

import io.vertx.core.Vertx;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.InvariantMonitor;

/** Groups the collaborators shared by all executions of an instance. Immutable. */
record CallContext(
    Vertx vertx,
    ClaimStore claims,
    EraBeginnings beginnings,
    ClaimRemover remover,
    ClaimRewriter rewriter,
    HolderStateEvaluator holderStates,
    OutcomeQuery outcomes,
    FailPointHook hook,
    InvariantMonitor monitor) {}
