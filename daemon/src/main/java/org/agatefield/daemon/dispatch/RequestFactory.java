package org.agatefield.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.agatefield.admission.QueuedRequest;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.model.Priority;
import org.agatefield.routing.RoutingRequest;

/** Converts requests to the input of admission and routing. Immutable. */
final class RequestFactory {
  private static final double PROMPT_TOKENS_PER_COST = 16;
  private static final long BYTES_PER_TOKEN = 6;

  private final String region;

  RequestFactory(String region) {
    this.region = region;
  }

  PendingRequest model(ModelRequest request, Target target, long id, int weight, long now) {
    double cost = 1 + request.promptTokens() / PROMPT_TOKENS_PER_COST + request.maximumTokens();
    long linkBytes = request.bodyBytes() + request.maximumTokens() * BYTES_PER_TOKEN;
    QueuedRequest queued =
        queued(
            id,
            target,
            request.caller(),
            weight,
            request.priority(),
            now,
            request.remaining(),
            request.bodyBytes(),
            cost);
    RoutingRequest routing =
        new RoutingRequest(
            region, target.adapter(), request.promptTokens(), linkBytes, request.prefixHashes());
    return new PendingRequest(request.requestId(), fingerprint(request), target, routing, queued);
  }

  PendingRequest service(ServiceRequest request, Target target, long id, int weight, long now) {
    QueuedRequest queued =
        queued(
            id,
            target,
            request.caller(),
            weight,
            request.priority(),
            now,
            request.remaining(),
            request.bodyBytes(),
            1);
    RoutingRequest routing =
        new RoutingRequest(region, Optional.empty(), 0, request.bodyBytes(), List.of());
    return new PendingRequest(request.requestId(), request.requestId(), target, routing, queued);
  }

  /**
   * Returns an identifier shared by a request and its retries, used to pick a version and to
   * measure demand.
   */
  static String fingerprint(ModelRequest request) {
    List<Long> prefixes = request.prefixHashes();
    String last =
        prefixes.isEmpty()
            ? request.requestId()
            : Long.toHexString(prefixes.get(prefixes.size() - 1));
    return request.caller() + '\n' + last;
  }

  private static QueuedRequest queued(
      long id,
      Target target,
      String caller,
      int weight,
      Priority priority,
      long now,
      Duration remaining,
      long bytes,
      double cost) {
    long deadline = now + Math.max(0, remaining.toNanos());
    return new QueuedRequest(
        id, target.name(), caller, weight, priority, now, deadline, bytes, cost);
  }
}
