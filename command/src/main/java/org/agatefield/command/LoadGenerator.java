package org.agatefield.command;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;

/**
 * Generates an open-loop load: starts requests at a constant rate, whether or not earlier ones have
 * been answered.
 *
 * <p>Latencies are measured from the planned start of a request, so that delays of a slow server
 * are not hidden (coordinated omission). For use by one thread.
 */
public final class LoadGenerator implements AutoCloseable {
  private static final int MAXIMUM_CONNECTIONS = 1_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long FINAL_ANSWERS_TIMEOUT_SECONDS = 60;
  private static final String END_MARKER = "[DONE]";
  private static final int TAIL_BYTES = 32;

  /**
   * The planned start of a request. Immutable.
   *
   * @param plannedNanoseconds the planned time on the monotonic clock
   * @param reported whether the request's latencies are reported
   */
  private record Start(long plannedNanoseconds, boolean reported) {}

  private final Closer closer = new Closer();
  private final Map<String, String> headers;
  private final Address address;
  private final HttpClient client;
  private final AtomicLong whole = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private final Histogram firstPart = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private final Histogram wholeAnswer = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

  LoadGenerator(Address address, Map<String, String> headers) {
    this.address = address;
    this.headers = Map.copyOf(headers);
    Vertx vertx = Vertx.vertx();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().get());
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS));
  }

  LoadReportTable run(LoadPlan plan) throws InterruptedException {
    long warmUp = plan.warmUp().toSeconds() * plan.requestsPerSecond();
    long requests = warmUp + plan.duration().toSeconds() * plan.requestsPerSecond();
    long intervalNanoseconds = TimeUnit.SECONDS.toNanos(1) / plan.requestsPerSecond();
    CountDownLatch pendingAnswers = new CountDownLatch((int) requests);
    long startNanoseconds = System.nanoTime();
    for (long number = 0; number < requests; number++) {
      long plannedStart = startNanoseconds + number * intervalNanoseconds;
      waitUntil(plannedStart);
      start(plan, new Start(plannedStart, number >= warmUp), pendingAnswers);
    }
    boolean complete = pendingAnswers.await(FINAL_ANSWERS_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (!complete) {
      failed.addAndGet(pendingAnswers.getCount());
    }
    return new LoadReportTable(whole.get(), refused.get(), failed.get(), firstPart, wholeAnswer);
  }

  private static void waitUntil(long nanoseconds) {
    long remaining = nanoseconds - System.nanoTime();
    while (remaining > 0) {
      LockSupport.parkNanos(remaining);
      remaining = nanoseconds - System.nanoTime();
    }
  }

  private void start(LoadPlan plan, Start start, CountDownLatch pendingAnswers) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(address.host())
            .setPort(address.port())
            .setURI("/v1/chat/completions")
            .addHeader("Content-Type", "application/json");
    headers.forEach(options::addHeader);
    client
        .request(options)
        .compose(
            request ->
                request.send(Buffer.buffer(plan.body())).compose(response -> read(response, start)))
        .onFailure(failure -> failed.incrementAndGet())
        .onComplete(ended -> pendingAnswers.countDown());
  }

  private Future<Void> read(HttpClientResponse response, Start start) {
    AnswerTail tail = new AnswerTail(TAIL_BYTES);
    response.handler(
        part -> {
          if (tail.isEmpty()) {
            record(firstPart, start);
          }
          tail.append(part);
        });
    return response.end().onSuccess(ended -> count(response, tail, start));
  }

  private void count(HttpClientResponse response, AnswerTail tail, Start start) {
    int status = response.statusCode();
    if (status == 429 || status == 503) {
      refused.incrementAndGet();
      return;
    }
    if (status != 200 || !tail.text().contains(END_MARKER)) {
      failed.incrementAndGet();
      return;
    }
    whole.incrementAndGet();
    record(wholeAnswer, start);
  }

  private static void record(Histogram histogram, Start start) {
    if (!start.reported()) {
      return;
    }
    histogram.recordValue(
        Math.max(0, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start.plannedNanoseconds())));
  }

  @Override
  public void close() {
    closer.close();
  }
}
