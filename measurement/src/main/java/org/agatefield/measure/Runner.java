package org.agatefield.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A runner, stepped by the service-time model. Confined to the driver's thread. */
final class Runner {
  final String name;
  final Set<String> loadedAdapters = new HashSet<>();
  private final ServiceTimes times;
  private final List<Work> batch = new ArrayList<>();
  private final Deque<Work> waiting = new ArrayDeque<>();
  private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private double busyNanoseconds;
  private int boot;
  private boolean alive = true;
  private boolean silent;

  Runner(String name, ServiceTimes times) {
    this.name = name;
    this.times = times;
  }

  void accept(Work work) {
    waiting.add(work);
  }

  void cancel(Work work) {
    work.over = true;
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

  boolean isSilent() {
    return silent;
  }

  /** Ends the process; its requests fail at once. */
  void die() {
    alive = false;
    List<Work> lost = new ArrayList<>(batch);
    lost.addAll(waiting);
    batch.clear();
    waiting.clear();
    forget();
    lost.stream().filter(work -> !work.over).forEach(work -> work.listener.failed());
  }

  /** Cuts the runner off: nothing fails, nothing is answered. */
  void fallSilent() {
    silent = true;
  }

  /** Brings the runner back, empty. */
  void comeBack() {
    batch.clear();
    waiting.clear();
    forget();
    alive = true;
    silent = false;
  }

  private void forget() {
    boot++;
    cache.clear();
    loadedAdapters.clear();
  }

  void step(long nanoseconds) {
    if (!alive || silent) {
      return;
    }
    batch.removeIf(work -> work.over);
    fillBatch();
    if (batch.isEmpty()) {
      return;
    }
    busyNanoseconds += nanoseconds;
    batch.forEach(work -> work.busyNanoseconds += (double) nanoseconds / batch.size());
    List<Work> current = List.copyOf(batch);
    long generating = current.stream().filter(work -> work.promptTokensLeft <= 0).count();
    double prefillShare = prefill(current, nanoseconds);
    double tokens =
        nanoseconds * (1 - prefillShare) / times.tokenNanoseconds((int) Math.max(1, generating));
    for (Work work : current) {
      generate(work, tokens);
    }
  }

  private void fillBatch() {
    while (batch.size() < times.maximumBatch() && !waiting.isEmpty()) {
      Work work = waiting.poll();
      if (!work.over) {
        work.started = true;
        work.promptTokensLeft *= 1 - cachedShare(work);
        batch.add(work);
      }
    }
  }

  private double cachedShare(Work work) {
    for (int position = work.prefixHashes.size() - 1; position >= 0; position--) {
      if (cache.get(work.prefixHashes.get(position)) != null) {
        return (position + 1.0) / work.prefixHashes.size();
      }
    }
    return 0;
  }

  private double prefill(List<Work> current, long nanoseconds) {
    double perNanosecond = times.prefillTokensPerSecond() / TimeUnit.SECONDS.toNanos(1);
    double budget = perNanosecond * nanoseconds * ServiceTimes.PREFILL_SHARE;
    double left = budget;
    for (Work work : current) {
      if (work.promptTokensLeft <= 0 || left <= 0) {
        continue;
      }
      double read = Math.min(left, work.promptTokensLeft);
      left -= read;
      work.promptTokensLeft -= read;
      if (work.promptTokensLeft <= 0) {
        remember(work);
        work.listener.firstToken();
      }
    }
    return ServiceTimes.PREFILL_SHARE * (budget - left) / budget;
  }

  private void remember(Work work) {
    work.prefixHashes.forEach(hash -> cache.put(hash, true));
    var eldest = cache.entrySet().iterator();
    while (cache.size() > times.cachedPrefixes()) {
      eldest.next();
      eldest.remove();
    }
  }

  private void generate(Work work, double tokens) {
    if (work.promptTokensLeft > 0 || work.over) {
      return;
    }
    work.tokensDone += tokens;
    if (work.tokensDone >= work.outputTokens) {
      work.over = true;
      batch.remove(work);
      work.listener.whole();
    }
  }
}
