package org.agatefield.idempotency;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Simulates processes whose steps interleave in random order, and a store and a service whose
 * responses are lost, late or refused, for one idempotency key. Confined to one thread; the same
 * seed gives the same run.
 */
final class ClaimSimulation {
  /** Faults of the protocol, each of which must cause violations. */
  enum Fault {
    NONE,
    SEND_WITHOUT_CLAIM,
    SEND_AFTER_ABSENT_READ_BACK,
    RELEASE_WITHOUT_PROOF,
    TAKE_OVER_CLAIM_OF_DEAD_HOLDER,
    REFUSE_AS_NOT_RUN_WITHOUT_READING,
    IGNORE_ERA
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
  final Set<String> answersRecorded = new HashSet<>();
  int sends;
  int replies;
  long now;
  private final List<Task> tasks = new ArrayList<>();
  private double faultShare;
  private double restoreShare;
  private long keyCreated = -1;
  private long eraBegan = -1;
  private int processes;

  /** An action that may run next: on the wire, or in a process. */
  private record Task(int process, Runnable action) {}

  ClaimSimulation(long seed, double faultShare, Fault fault) {
    this.random = new Random(seed);
    this.faultShare = faultShare;
    this.fault = fault;
  }

  /** As {@link #run}, with a store that comes back from older copies. */
  void runWithRestores(int attempts) {
    restoreShare = 0.02;
    run(attempts);
  }

  /** Returns whether the key was not used before the store's era. */
  boolean conclusive() {
    return fault == Fault.IGNORE_ERA || store.era() == 0 || keyCreated > eraBegan;
  }

  private void restore() {
    store.restore(random.nextInt(8));
    eraBegan = now;
    answersBeingRecorded.removeAll(answersRecorded);
  }

  /** Runs attempts and crashes in random order, then all remaining tasks without faults. */
  void run(int attempts) {
    int remaining = attempts;
    for (int step = 0; step < STEPS; step++) {
      now += random.nextInt(3);
      if (remaining > 0 && chance(0.1)) {
        remaining--;
        startAttempt();
      } else if (chance(restoreShare)) {
        restore();
      } else if (chance(faultShare / 10) && processes > 0) {
        crash(random.nextInt(processes));
      } else {
        runAny();
      }
    }
    settle();
    checkLastAttempt();
  }

  boolean chance(double share) {
    return random.nextDouble() < share;
  }

  /** Returns whether a fault of the store, the network or the service occurs now. */
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
   * Performs a write whose response may be lost, before or after its effect, or whose effect may be
   * delayed. A write that was prepared in an earlier era of the store is not confirmed.
   *
   * @param effect performs the write and returns whether its condition held
   */
  void write(long era, BooleanSupplier effect, WriteListener listener) {
    if (era != store.era()) {
      if (chance(0.5)) {
        effect.getAsBoolean();
        answersBeingRecorded.clear(); // it may have met another content under its revision
      }
      listener.unknown();
      return;
    }
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
        onWire(() -> effectLate(era, effect));
        listener.unknown();
      }
      default -> listener.unknown();
    }
  }

  private void effectLate(long era, BooleanSupplier effect) {
    effect.getAsBoolean();
    if (era != store.era()) {
      answersBeingRecorded.clear();
    }
  }

  /** Receives the result of a write, on the wire. */
  interface WriteListener {
    void completed(boolean conditionHeld);

    void refused();

    void unknown();
  }

  private SimulatedAttempt startAttempt() {
    keyCreated = keyCreated < 0 ? now : keyCreated;
    int process = chance(0.5) && processes > 0 ? random.nextInt(processes) : processes++;
    SimulatedAttempt started = new SimulatedAttempt(this, process);
    inProcess(process, started::start);
    return started;
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
      violations.add("tasks do not terminate");
    }
  }

  /** Checks that a last retry gets the answer if a process that did not crash received it. */
  private void checkLastAttempt() {
    boolean answerKnown = !answersBeingRecorded.isEmpty();
    final int repliesBefore = replies;
    final int sendsBefore = sends;
    startAttempt();
    settle();
    if (answerKnown && replies == repliesBefore) {
      violations.add("a retry did not get an answer that was received before");
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
