package org.agatefield.daemon.forward.wire;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.OptionalLong;
import org.agatefield.forwarding.RunnerReport;

/** Defines how requests, orders and reports are exchanged with runners. Stateless. */
public interface RunnerDialect {
  /** Adds this system's headers to a forwarded request. */
  void writeTerms(SendTerms terms, MultiMap headers);

  /** Classifies the response to a request. */
  ResponseKind responseKind(int status, MultiMap headers, String requestId);

  /** Returns whether a response announces that its runner is leaving. */
  boolean isLeaving(MultiMap headers);

  /**
   * Returns how long a runner that rejected a request wants no more requests; empty if it does not
   * say.
   */
  OptionalLong backoffMilliseconds(int status, MultiMap headers);

  /** Returns the request rate that the runner accepts according to a response. */
  RateLimitAnnouncement rateLimit(MultiMap headers);

  /** Returns the path that accepts orders. */
  String orderPath();

  /** Encodes an order. */
  Buffer encodeOrder(RunnerOrder order);

  /** Decodes the outcome of an order. */
  OrderOutcome orderOutcome(int status);

  /** Returns the name of the header that makes any other runner reject the call. */
  String expectedRunnerHeader();

  /** Returns the path of the runner's state report. */
  String reportPath();

  /** Decodes a runner's state report; empty if the body is not a report. */
  Optional<RunnerReport> decodeReport(Buffer body);
}
