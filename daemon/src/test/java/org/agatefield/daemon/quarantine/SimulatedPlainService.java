package org.agatefield.daemon.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.agatefield.forwarding.CrashAttribution;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.forwarding.RequestTraits;
import org.agatefield.model.Address;

/**
 * Simulates a service without prompts: its runners, the requests that simulated instances send to
 * them, and the crashes of the runners.
 *
 * <p>A deadly request ends each runner that begins to run it, even if the request is cancelled
 * meanwhile. All requests that a crash interrupts are lost; their instances report them, and those
 * that may be repeated go on to another runner. Invariants: a request reaches a runner once at
 * most; no request that is quarantined at its instance reaches a runner. Not thread safe.
 */
final class SimulatedPlainService {
  private static final long RETURN_MILLISECONDS = 3_000;
  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final int MINIMUM_RUN_MILLISECONDS = 20;
  private static final int RUN_MILLISECONDS = 400;
  private static final int DEADLY_RUN_MILLISECONDS = 200;
  private static final int REPORT_MILLISECONDS = 20;
  private static final int REPEAT_MILLISECONDS = 10;

  private final SimulatedInstances fleet;
  private final Random random;
  private final List<Runner> runners = new ArrayList<>();
  private final List<Call> open = new ArrayList<>();
  private final List<Send> sends = new ArrayList<>();
  private final List<Crashed> crashes = new ArrayList<>();
  private final List<Fact> facts = new ArrayList<>();
  private final Map<String, Integer> refusals = new HashMap<>();

  /**
   * What a caller sends. Immutable.
   *
   * @param name equal for requests with the same fingerprint
   * @param deadly whether it crashes the runners that run it
   * @param repeatable whether it goes on to another runner after a crash
   */
  record Request(String name, boolean deadly, boolean repeatable) {
    /** Returns what the instances know of the request. */
    List<String> traits() {
      RequestFingerprint fingerprint =
          RequestFingerprint.of(
              "GET", "/" + name, Optional.empty(), name.getBytes(StandardCharsets.UTF_8));
      return RequestTraits.of(Optional.empty(), fingerprint).ids();
    }
  }

  /**
   * A request that reached a runner. Immutable.
   *
   * @param from the instance that sent it, in the state of that time
   */
  record Send(String name, long at, String from, boolean inTouch) {}

  /** A crash that a request caused. Immutable. */
  record Crashed(String name, long at) {}

  /** A fact that one of the instances learnt. Immutable. */
  sealed interface Fact {
    /** Adds the fact to the evidence. */
    void addTo(CrashAttribution attribution);

    /** A crash with the traits that one instance lost. Immutable. */
    record CrashFact(CrashAttribution.Crash crash, Map<String, Integer> positions, long at)
        implements Fact {
      @Override
      public void addTo(CrashAttribution attribution) {
        attribution.crashed(crash, positions, at);
      }
    }

    /** A trait that a runner survived. Immutable. */
    record SurvivalFact(String trait, long at) implements Fact {
      @Override
      public void addTo(CrashAttribution attribution) {
        attribution.survived(trait, at);
      }
    }
  }

  /** One runner over all its processes. */
  private static final class Runner {
    private final String id;
    private final List<Call> calls = new ArrayList<>();
    private long startedAt;
    private boolean running = true;

    Runner(String id, long startedAt) {
      this.id = id;
      this.startedAt = startedAt;
    }
  }

  /** One request at one instance. */
  private static final class Call {
    private final Request request;
    private final SimulatedInstances.Simulated instance;
    private final int process;
    private final Set<Runner> tried = new HashSet<>();
    private boolean over;

    Call(Request request, SimulatedInstances.Simulated instance) {
      this.request = request;
      this.instance = instance;
      this.process = instance.process();
    }

    /** Returns whether the instance still waits for the response. */
    boolean isOpen() {
      return !over && instance.process() == process;
    }
  }

  /** Starts the runners. */
  SimulatedPlainService(SimulatedInstances fleet, int size, Random random) {
    this.fleet = fleet;
    this.random = random;
    for (int index = 0; index < size; index++) {
      runners.add(new Runner("i-" + index, fleet.now()));
    }
    fleet.onQuarantined(this::cancel);
  }

  /** Returns the requests with a name that reached runners. */
  List<Send> sends(String name) {
    return sends.stream().filter(send -> send.name().equals(name)).toList();
  }

  /** Returns the crashes that the request with a name caused. */
  List<Crashed> crashes(String name) {
    return crashes.stream().filter(crash -> crash.name().equals(name)).toList();
  }

  /** Returns what the instances learnt, in order. */
  List<Fact> facts() {
    return List.copyOf(facts);
  }

  /** Returns how many arrivals of each name were refused because they were quarantined. */
  Map<String, Integer> refusals() {
    return Map.copyOf(refusals);
  }

  /** Lets a request arrive at an instance, which must run to receive it. */
  void arrive(Request request, SimulatedInstances.Simulated instance) {
    if (!instance.isRunning()) {
      return;
    }
    if (isQuarantined(request, instance)) {
      refusals.merge(request.name(), 1, Integer::sum);
      return;
    }
    Call call = new Call(request, instance);
    open.removeIf(each -> !each.isOpen());
    open.add(call);
    send(call);
  }

  /** Ends a runner for a reason that no request has. */
  void crashForAnotherReason() {
    Runner runner = runners.get(random.nextInt(runners.size()));
    if (runner.running) {
      crash(runner);
    }
  }

  private static boolean isQuarantined(Request request, SimulatedInstances.Simulated instance) {
    return instance.quarantine().quarantinedUntil(request.traits()).isPresent();
  }

  private void cancel(SimulatedInstances.Simulated instance, String trait) {
    open.stream()
        .filter(call -> call.instance == instance && call.request.traits().contains(trait))
        .forEach(call -> call.over = true);
  }

  private void send(Call call) {
    List<Runner> candidates =
        runners.stream().filter(each -> each.running && !call.tried.contains(each)).toList();
    if (candidates.isEmpty() || isQuarantined(call.request, call.instance)) {
      call.over = true;
      return;
    }
    Runner runner = candidates.get(random.nextInt(candidates.size()));
    call.tried.add(runner);
    runner.calls.add(call);
    sends.add(
        new Send(
            call.request.name(),
            fleet.now(),
            call.instance.self().id() + "/" + call.process,
            call.instance.isInTouchFor(DeadlyPlainRequestsTest.CONTACT_MILLISECONDS)));
    long startedAt = runner.startedAt;
    int spread = call.request.deadly() ? DEADLY_RUN_MILLISECONDS : RUN_MILLISECONDS;
    fleet.after(
        MINIMUM_RUN_MILLISECONDS + random.nextInt(spread),
        () -> {
          if (runner.running && runner.startedAt == startedAt) {
            ran(call, runner);
          }
        });
  }

  private void ran(Call call, Runner runner) {
    if (call.request.deadly()) {
      crashes.add(new Crashed(call.request.name(), fleet.now()));
      crash(runner);
      return;
    }
    runner.calls.remove(call);
    if (!call.isOpen()) {
      return;
    }
    call.over = true;
    for (String trait : call.request.traits()) {
      facts.add(new Fact.SurvivalFact(trait, fleet.now()));
    }
    call.instance.quarantine().survived(call.request.traits());
  }

  private void crash(Runner runner) {
    runner.running = false;
    fleet.after(
        RETURN_MILLISECONDS,
        () -> {
          runner.running = true;
          runner.startedAt = fleet.now();
        });
    Map<SimulatedInstances.Simulated, List<Call>> lost = new LinkedHashMap<>();
    runner.calls.stream()
        .filter(Call::isOpen)
        .forEach(call -> lost.computeIfAbsent(call.instance, key -> new ArrayList<>()).add(call));
    runner.calls.clear();
    UpstreamProcess process =
        new UpstreamProcess(runner.id, runner.startedAt, new Address("10.1.0.1", 80), false);
    lost.forEach((instance, calls) -> reportLater(instance, process, calls));
    lost.values().forEach(calls -> calls.forEach(this::repeatLater));
  }

  private void reportLater(
      SimulatedInstances.Simulated instance, UpstreamProcess process, List<Call> calls) {
    Map<String, Integer> positions = new HashMap<>();
    for (Call call : calls) {
      List<String> traits = call.request.traits();
      for (int position = 0; position < traits.size(); position++) {
        positions.merge(traits.get(position), position, Math::max);
      }
    }
    // Timers of the instance end with its process.
    instance.after(
        REPORT_MILLISECONDS + random.nextInt(REPORT_MILLISECONDS),
        () -> {
          CrashAttribution.Crash crash =
              new CrashAttribution.Crash(process.upstream(), process.startTimeMilliseconds());
          facts.add(new Fact.CrashFact(crash, positions, fleet.now()));
          instance.quarantine().crashed(process, positions);
        });
  }

  private void repeatLater(Call call) {
    if (!call.request.repeatable() || call.tried.size() >= MAXIMUM_ATTEMPTS) {
      call.over = true;
      return;
    }
    fleet.after(
        1 + random.nextInt(REPEAT_MILLISECONDS),
        () -> {
          if (call.isOpen()) {
            send(call);
          }
        });
  }
}
