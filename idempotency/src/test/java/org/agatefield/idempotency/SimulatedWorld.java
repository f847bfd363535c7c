package org.agatefield.idempotency;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Processes whose steps come in any order, with a store and a service whose answers are lost, late
 * or refused. One idempotency key. Used from one thread; the same seed gives the same run.
 */
final class SimulatedWorld {
  /** A part of the protocol that is switched off, to see what it is needed for. */
  enum Fault {
    NONE,
    SEND_WITHOUT_CLAIM,
    SEND_AFTER_ABSENT_READ_BACK,
    RELEASE_WITHOUT_PROOF,
    TAKE_OVER_CLAIM_OF_DEAD_HOLDER,
    REFUSE_AS_NOT_RUN_WITHOUT_READING
  }

  private static final int WIRE = -1;
  private static final int STEPS = 400;

  final Random random;
  final Fault fault;
  final SimulatedClaimStore store = new SimulatedClaimStore();
  final List<String> violations = new ArrayList<>();
  final List<String> executedAnswers = new ArrayList<>();
  final Set<String> abandoned = new HashSet<>();
  final Set<String> answersBeingRecorded = new HashSet<>();
  int sends;
  int replies;
  long now;
  private final List<Task> tasks = new ArrayList<>();
  private double faultShare;
  private int processes;

  /** One thing that may happen next: on the wire, or in a process. */
  private record Task(int process, Runnable action) {}

  SimulatedWorld(long seed, double faultShare, Fault fault) {
    this.random = new Random(seed);
    this.faultShare = faultShare;
    this.fault = fault;
  }

  /** Runs arrivals and crashes in a random order, then lets everything settle. */
  void run(int arrivals) {
    int left = arrivals;
    for (int step = 0; step < STEPS; step++) {
      now += random.nextInt(3);
      if (left > 0 && chance(0.1)) {
        left--;
        arrive();
      } else if (chance(faultShare / 10) && processes > 0) {
        crash(random.nextInt(processes));
      } else {
        runAny();
      }
    }
    settle();
    checkLastArrival();
  }

  boolean chance(double share) {
    return random.nextDouble() < share;
  }

  /** Returns whether a fault of the store, the network or the service happens. */
  boolean faulty() {
    return chance(faultShare);
  }

  void onWire(Runnable action) {
    tasks.add(new Task(WIRE, action));
  }

  void inProcess(int process, Runnable action) {
    tasks.add(new Task(process, action));
  }

  /**
   * Makes a write whose answer may be lost before or after its effect, which may come late.
   *
   * @param effect makes the write and returns whether its condition held
   */
  void write(BooleanSupplier effect, WriteListener listener) {
    if (!faulty()) {
      listener.completed(effect.getAsBoolean());
      return;
    }
    switch (random.nextInt(4)) {
      case 0 -> listener.refused();
      case 1 -> {
        effect.getAsBoolean();
        listener.unknown();
      }
      case 2 -> {
        onWire(effect::getAsBoolean);
        listener.unknown();
      }
      default -> listener.unknown();
    }
  }

  /** Receives the result of a write, on the wire. */
  interface WriteListener {
    void completed(boolean conditionHeld);

    void refused();

    void unknown();
  }

  private SimulatedAttempt arrive() {
    int process = chance(0.5) && processes > 0 ? random.nextInt(processes) : processes++;
    SimulatedAttempt arrival = new SimulatedAttempt(this, process);
    inProcess(process, arrival::start);
    return arrival;
  }

  private void crash(int process) {
    tasks.removeIf(task -> task.process() == process);
    abandoned.removeIf(attempt -> attempt.startsWith(process + "/"));
    answersBeingRecorded.removeIf(attempt -> attempt.startsWith(process + "/"));
  }

  private void runAny() {
    if (!tasks.isEmpty()) {
      tasks.remove(random.nextInt(tasks.size())).action().run();
    }
  }

  private void settle() {
    faultShare = 0;
    for (int step = 0; step < 20_000 && !tasks.isEmpty(); step++) {
      now++;
      runAny();
    }
    if (!tasks.isEmpty()) {
      violations.add("tasks do not end");
    }
  }

  /** A last retry gets the answer, if any process that has lived to the end knew it. */
  private void checkLastArrival() {
    boolean answerKnown = !answersBeingRecorded.isEmpty();
    final int repliesBefore = replies;
    final int sendsBefore = sends;
    arrive();
    settle();
    if (answerKnown && replies == repliesBefore) {
      violations.add("an answer that was known is not given to a retry");
    }
    if (sendsBefore > 0 && sends > sendsBefore) {
      violations.add("the last retry was sent again");
    }
    if (sends > 1) {
      violations.add("sent " + sends + " times without proof that nothing was sent");
    }
    if (executedAnswers.size() > 1) {
      violations.add("executed " + executedAnswers.size() + " times");
    }
  }
}
