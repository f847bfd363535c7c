package org.agatefield.daemon.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.agatefield.admission.QueuedRequest;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.routing.RoutingRequest;

/**
 * Tracks a request from its arrival to its last attempt. Guarded by the dispatcher's lock, except
 * for the future, which is completed outside the lock.
 */
final class PendingRequest {
  final String requestId;
  final Target target;
  final String fingerprint;
  final RoutingRequest routing;
  final QueuedRequest queued;
  final Set<String> failedUpstreams = new HashSet<>();
  CompletableFuture<Dispatch> future = new CompletableFuture<>();
  boolean mayHaveRun;
  boolean wasSent;

  PendingRequest(
      String requestId,
      String fingerprint,
      Target target,
      RoutingRequest routing,
      QueuedRequest queued) {
    this.requestId = requestId;
    this.fingerprint = fingerprint;
    this.target = target;
    this.routing = routing;
    this.queued = queued;
  }
}
