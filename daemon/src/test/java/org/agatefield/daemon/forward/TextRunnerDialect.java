package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.agatefield.daemon.forward.wire.OrderOutcome;
import org.agatefield.daemon.forward.wire.RateLimitAnnouncement;
import org.agatefield.daemon.forward.wire.ResponseKind;
import org.agatefield.daemon.forward.wire.RunnerDialect;
import org.agatefield.daemon.forward.wire.RunnerOrder;
import org.agatefield.daemon.forward.wire.SendTerms;
import org.agatefield.forwarding.RunnerReport;

/**
 * Encodes orders as text with the model's name; reports are passed directly instead of being
 * decoded. Thread-safe if the reports are.
 */
final class TextRunnerDialect implements RunnerDialect {
  private static final int FULFILLED = 200;
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;

  private final Supplier<RunnerReport> report;

  TextRunnerDialect(Supplier<RunnerReport> report) {
    this.report = report;
  }

  @Override
  public void writeTerms(SendTerms terms, MultiMap headers) {}

  @Override
  public ResponseKind responseKind(int status, MultiMap headers, String requestId) {
    return ResponseKind.SUCCESS;
  }

  @Override
  public boolean isLeaving(MultiMap headers) {
    return false;
  }

  @Override
  public OptionalLong backoffMilliseconds(int status, MultiMap headers) {
    return OptionalLong.empty();
  }

  @Override
  public RateLimitAnnouncement rateLimit(MultiMap headers) {
    return new RateLimitAnnouncement.NotLimited();
  }

  @Override
  public String orderPath() {
    return "/order";
  }

  @Override
  public Buffer encodeOrder(RunnerOrder order) {
    String load = order.adapter().map(name -> order.model() + "/" + name).orElse(order.model());
    return Buffer.buffer(order.action() + " " + load + " " + order.acceptedOrders());
  }

  @Override
  public OrderOutcome orderOutcome(int status) {
    return switch (status) {
      case ACCEPTED -> OrderOutcome.ACCEPTED;
      case CONFLICT -> OrderOutcome.CONFLICT;
      case FULFILLED -> OrderOutcome.FULFILLED;
      default -> OrderOutcome.UNKNOWN;
    };
  }

  @Override
  public String expectedRunnerHeader() {
    return "Expected";
  }

  @Override
  public String reportPath() {
    return "/report";
  }

  @Override
  public Optional<RunnerReport> decodeReport(Buffer body) {
    return Optional.of(report.get());
  }
}
