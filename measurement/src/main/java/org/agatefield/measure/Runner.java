package org.agatefield.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Simulates a runner by the service-time model. Confined to the driver's thread. */
final class Runner {
  final String name;
  final Set<String> loadedAdapters = new HashSet<>();
  private final ServiceTimes times;
  private final List<RunnerAttempt> batch = new ArrayList<>();
  private final Deque<RunnerAttempt> waiting = new ArrayDeque<>();
  private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private double busyNanoseconds;
  private int boot;
  private boolean alive = true;
  private boolean unreachable;

  Runner(String name, ServiceTimes times) {
    this.name = name;
    this.times = times;
  }

  void accept(RunnerAttempt attempt) {
    waiting.add(attempt);
  }

  void cancel(RunnerAttempt attempt) {
    attempt.done = true;
  }

  int running() {
    return batch.size();
  }

  int waitingCount() {
    return waiting.size();
  }

  double busyNanoseconds() {
    return busyNanoseconds;
  }

  String bootIdentifier() {
    return name + "-" + boot;
  }

  boolean isAlive() {
    return alive;
  }

  boolean isUnreachable() {
    return unreachable;
  }

  /** Simulates a crash of the process; its requests fail at once. */
  void crash() {
    alive = false;
    List<RunnerAttempt> lost = new ArrayList<>(batch);
    lost.addAll(waiting);
    batch.clear();
    waiting.clear();
    clearState();
    lost.stream().filter(attempt -> !attempt.done).forEach(attempt -> attempt.listener.failed());
  }

  /** Makes the runner unreachable: requests neither fail nor complete. */
  void disconnect() {
    unreachable = true;
  }

  /** Restarts the runner with nothing loaded and makes it reachable again. */
  void restart() {
    batch.clear();
    waiting.clear();
    clearState();
    alive = true;
    unreachable = false;
  }

  private void clearState() {
    boot++;
    cache.clear();
    loadedAdapters.clear();
  }

  void step(long nanoseconds) {
    if (!alive || unreachable) {
      return;
    }
    batch.removeIf(attempt -> attempt.done);
    fillBatch();
    if (batch.isEmpty()) {
      return;
    }
    busyNanoseconds += nanoseconds;
    batch.forEach(attempt -> attempt.busyNanoseconds += (double) nanoseconds / batch.size());
    List<RunnerAttempt> current = List.copyOf(batch);
    long generating =
        current.stream().filter(attempt -> attempt.remainingPromptTokens <= 0).count();
    double prefillShare = prefill(current, nanoseconds);
    double tokens =
        nanoseconds * (1 - prefillShare) / times.tokenNanoseconds((int) Math.max(1, generating));
    for (RunnerAttempt attempt : current) {
      generate(attempt, tokens);
    }
  }

  private void fillBatch() {
    while (batch.size() < times.maximumBatch() && !waiting.isEmpty()) {
      RunnerAttempt attempt = waiting.poll();
      if (!attempt.done) {
        attempt.started = true;
        attempt.remainingPromptTokens *= 1 - cachedShare(attempt);
        batch.add(attempt);
      }
    }
  }

  private double cachedShare(RunnerAttempt attempt) {
    for (int position = attempt.prefixHashes.size() - 1; position >= 0; position--) {
      if (cache.get(attempt.prefixHashes.get(position)) != null) {
        return (position + 1.0) / attempt.prefixHashes.size();
      }
    }
    return 0;
  }

  private double prefill(List<RunnerAttempt> current, long nanoseconds) {
    double perNanosecond = times.prefillTokensPerSecond() / TimeUnit.SECONDS.toNanos(1);
    double budget = perNanosecond * nanoseconds * ServiceTimes.PREFILL_SHARE;
    double left = budget;
    for (RunnerAttempt attempt : current) {
      if (attempt.remainingPromptTokens <= 0 || left <= 0) {
        continue;
      }
      double read = Math.min(left, attempt.remainingPromptTokens);
      left -= read;
      attempt.remainingPromptTokens -= read;
      if (attempt.remainingPromptTokens <= 0) {
        cachePrefixes(attempt);
        attempt.listener.firstToken();
      }
    }
    return ServiceTimes.PREFILL_SHARE * (budget - left) / budget;
  }

  private void cachePrefixes(RunnerAttempt attempt) {
    attempt.prefixHashes.forEach(hash -> cache.put(hash, true));
    var eldest = cache.entrySet().iterator();
    while (cache.size() > times.cachedPrefixes()) {
      eldest.next();
      eldest.remove();
    }
  }

  private void generate(RunnerAttempt attempt, double tokens) {
    if (attempt.remainingPromptTokens > 0 || attempt.done) {
      return;
    }
    attempt.generatedTokens += tokens;
    if (attempt.generatedTokens >= attempt.outputTokens) {
      attempt.done = true;
      batch.remove(attempt);
      attempt.listener.completed();
    }
  }
}
