package org.agatefield.daemon.forward.wire;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.OptionalLong;
import org.agatefield.forwarding.RunnerReport;

/** How runners are asked for work, told what to hold, and asked for their state. Stateless. */
public interface RunnerDialect {
  /** Writes what this system adds to a request that it passes on. */
  void writeTerms(SendTerms terms, MultiMap headers);

  /** Reads what kind of answer came to a request. */
  ResponseKind responseKind(int status, MultiMap headers, String requestId);

  /** Returns whether an answer says that its runner is about to end. */
  boolean isLeaving(MultiMap headers);

  /** Returns for how long a runner that turned a request away wants nothing more; empty if not. */
  OptionalLong backoffMilliseconds(int status, MultiMap headers);

  /** Returns the path that takes orders. */
  String orderPath();

  /** Writes an order. */
  Buffer encodeOrder(RunnerOrder order);

  /** Reads the outcome of an order. */
  OrderOutcome orderOutcome(int status);

  /** Returns the name of the header that makes any other runner turn a call away. */
  String expectedRunnerHeader();

  /** Returns the path that tells a runner's state. */
  String reportPath();

  /** Reads a runner's state; empty if the body is none. */
  Optional<RunnerReport> decodeReport(Buffer body);
}
