package org.agatefield.daemon.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.Dispatcher;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Upstream;
import org.agatefield.model.VersionId;

/** Chooses upstreams in turn and records how attempts ended. Safe for use by any thread. */
final class RecordingDispatcher implements Dispatcher {
  private final List<Upstream> runners = new ArrayList<>();
  private final List<Upstream> serviceRunners = new ArrayList<>();
  private final List<DispatchOutcome> outcomes = new ArrayList<>();
  private final List<ModelRequest> requests = new ArrayList<>();
  private final String adapterOf;
  private Optional<CompletableFuture<Dispatch>> held = Optional.empty();
  private int next;
  private long attempts;
  private int retries = 100;

  /**
   * Creates a dispatcher without runners.
   *
   * @param adapterOf the deployment that every name that is not its own is an adapter of
   */
  RecordingDispatcher(String adapterOf) {
    this.adapterOf = adapterOf;
  }

  synchronized void addRunner(Upstream runner) {
    runners.add(runner);
  }

  synchronized void addServiceRunner(Upstream runner) {
    serviceRunners.add(runner);
  }

  synchronized void allowRetries(int count) {
    retries = count;
  }

  /** Makes the next acquisitions wait for this future. */
  synchronized void hold(CompletableFuture<Dispatch> future) {
    held = Optional.of(future);
  }

  synchronized List<DispatchOutcome> outcomes() {
    return List.copyOf(outcomes);
  }

  synchronized List<ModelRequest> requests() {
    return List.copyOf(requests);
  }

  synchronized long attempts() {
    return attempts;
  }

  @Override
  public synchronized CompletableFuture<Dispatch> acquire(ModelRequest request) {
    requests.add(request);
    if (held.isPresent()) {
      return held.get();
    }
    Optional<String> adapter =
        request.model().equals(adapterOf) ? Optional.empty() : Optional.of(request.model());
    return choose(runners, Optional.of(new VersionId(adapterOf, "v1")), adapter);
  }

  @Override
  public synchronized CompletableFuture<Dispatch> acquire(ServiceRequest request) {
    return choose(serviceRunners, Optional.empty(), Optional.empty());
  }

  @Override
  public synchronized CompletableFuture<Dispatch> reacquire(
      Dispatch failed, DispatchOutcome outcome) {
    failed.finished(outcome);
    if (retries == 0) {
      return CompletableFuture.failedFuture(
          new AgatefieldException(ErrorKind.NO_UPSTREAM, "the retry budget is used up"));
    }
    retries--;
    List<Upstream> candidates = failed.version().isPresent() ? runners : serviceRunners;
    return choose(candidates, failed.version(), failed.adapter());
  }

  private CompletableFuture<Dispatch> choose(
      List<Upstream> candidates, Optional<VersionId> version, Optional<String> adapter) {
    if (candidates.isEmpty()) {
      return CompletableFuture.failedFuture(
          new AgatefieldException(ErrorKind.NO_UPSTREAM, "no upstream is known"));
    }
    attempts++;
    Upstream upstream = candidates.get(next++ % candidates.size());
    return CompletableFuture.completedFuture(
        new RecordingDispatch(attempts, upstream, version, adapter));
  }

  private synchronized void record(DispatchOutcome outcome) {
    outcomes.add(outcome);
  }

  /** One attempt. */
  private final class RecordingDispatch implements Dispatch {
    private final long attemptNumber;
    private final Upstream upstream;
    private final Optional<VersionId> version;
    private final Optional<String> adapter;
    private boolean finished;

    private RecordingDispatch(
        long attemptNumber,
        Upstream upstream,
        Optional<VersionId> version,
        Optional<String> adapter) {
      this.attemptNumber = attemptNumber;
      this.upstream = upstream;
      this.version = version;
      this.adapter = adapter;
    }

    @Override
    public long attemptNumber() {
      return attemptNumber;
    }

    @Override
    public Upstream upstream() {
      return upstream;
    }

    @Override
    public Optional<VersionId> version() {
      return version;
    }

    @Override
    public Optional<String> adapter() {
      return adapter;
    }

    @Override
    public void responseStarted() {
      // Nothing is measured here.
    }

    @Override
    public synchronized void finished(DispatchOutcome outcome) {
      if (!finished) {
        finished = true;
        record(outcome);
      }
    }
  }
}
