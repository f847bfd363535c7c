package org.agatefield.idempotency;

import java.util.Optional;
import org.agatefield.idempotency.ClaimEvent.HolderState;
import org.agatefield.idempotency.SimulatedWorld.Fault;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;

/** One arrival of the call in a process of the simulated world. Used from one thread. */
final class SimulatedAttempt {
  private static final Throwable NO_UPSTREAM =
      new AgatefieldException(ErrorKind.NO_UPSTREAM, "none");
  private static final Throwable BROKEN =
      new AgatefieldException(ErrorKind.UPSTREAM_FAILED, "broken");

  private final ClaimProtocol<String> protocol = new ClaimProtocol<>();
  private final SimulatedWorld world;
  private final int process;
  private final CallAttempt arrival;
  private final Claim<String> claim;
  private final int sendsBefore;
  private ClaimState<String> state = ClaimState.initial();
  private Optional<SimulatedClaimStore.Versioned> lastRead = Optional.empty();
  private boolean replied;

  SimulatedAttempt(SimulatedWorld world, int process) {
    this.world = world;
    this.process = process;
    String attempt = process + "/" + world.random.nextInt(1_000_000);
    long joinUntil = world.now + world.random.nextInt(50);
    long deadline = world.now + 20 + world.random.nextInt(500);
    this.arrival = new CallAttempt(attempt, "body", deadline, joinUntil, world.chance(0.3));
    this.claim = new Claim<>(attempt, "" + process, "body", 0, 0, 0, Optional.empty());
    this.sendsBefore = world.sends;
  }

  void start() {
    perform(protocol.begin());
  }

  private void later(ClaimEvent<String> event) {
    world.inProcess(process, () -> feed(event));
  }

  private void feed(ClaimEvent<String> event) {
    ClaimEvent<String> altered = alter(event);
    ClaimStep<String> step = protocol.next(state, altered, arrival, world.now);
    state = step.state();
    perform(step);
  }

  /** Alters an event as a protocol with the fault would take it. */
  private ClaimEvent<String> alter(ClaimEvent<String> event) {
    boolean readingBack = state.phase() == ClaimState.Phase.READING_BACK;
    if (world.fault == Fault.SEND_AFTER_ABSENT_READ_BACK
        && readingBack
        && event instanceof ClaimEvent.Absent) {
      return new ClaimEvent.Found<>(claim, HolderState.RUNNING);
    }
    if (world.fault == Fault.RELEASE_WITHOUT_PROOF
        && event instanceof ClaimEvent.SendFailed<String> failed) {
      return new ClaimEvent.SendFailed<>(RunState.NO, failed.error());
    }
    if (world.fault == Fault.TAKE_OVER_CLAIM_OF_DEAD_HOLDER
        && event instanceof ClaimEvent.Found<String> found
        && found.holderState() == HolderState.GONE
        && found.claim().outcome().isEmpty()
        && !readingBack) {
      return new ClaimEvent.Found<>(found.claim(), HolderState.ABANDONED);
    }
    if (world.fault == Fault.REFUSE_AS_NOT_RUN_WITHOUT_READING
        && event instanceof ClaimEvent.ReadFailed
        && state.phase() == ClaimState.Phase.READING) {
      refused(RunState.NO);
    }
    return event;
  }

  private void perform(ClaimStep<String> step) {
    step.actions().forEach(this::perform);
  }

  private void perform(ClaimAction<String> action) {
    if (action instanceof ClaimAction.Read) {
      world.onWire(this::read);
    } else if (action instanceof ClaimAction.Acquire || action instanceof ClaimAction.Reacquire) {
      later(
          world.faulty()
              ? new ClaimEvent.AcquireFailed<>(NO_UPSTREAM)
              : new ClaimEvent.Acquired<>());
    } else if (action instanceof ClaimAction.Create) {
      create();
    } else if (action instanceof ClaimAction.CheckDeadline) {
      later(new ClaimEvent.DeadlineCheckDue<>());
    } else if (action instanceof ClaimAction.Send) {
      send();
    } else if (action instanceof ClaimAction.PollLater) {
      later(new ClaimEvent.PollDue<>());
    } else if (action instanceof ClaimAction.QueryService) {
      ask();
    } else if (action instanceof ClaimAction.Record<String> write) {
      write
          .outcome()
          .answer()
          .ifPresent(known -> world.answersBeingRecorded.add(claim.attemptId()));
      world.inProcess(process, () -> record(write.outcome()));
    } else {
      performEnd(action);
    }
  }

  private void performEnd(ClaimAction<String> action) {
    if (action instanceof ClaimAction.Remove) {
      world.abandoned.add(arrival.attemptId());
      world.inProcess(process, this::remove);
    } else if (action instanceof ClaimAction.RemoveFound) {
      long version = lastRead.orElseThrow().version();
      world.onWire(() -> removeFound(version));
    } else if (action instanceof ClaimAction.RecordForOther<String> write) {
      long version = lastRead.orElseThrow().version();
      Claim<String> answered =
          write.claim().withOutcome(new Claim.Outcome<>(Optional.of(write.answer())));
      world.onWire(() -> world.store.update(version, answered));
    } else if (action instanceof ClaimAction.Reply<String> reply) {
      reply(reply.answer());
    } else if (action instanceof ClaimAction.Refuse<String> refusal) {
      refused(refusal.runState());
    } else if (action instanceof ClaimAction.RefuseWithError<String> refusal) {
      refused(((AgatefieldException) refusal.error()).runState());
    }
  }

  private void read() {
    if (world.faulty()) {
      later(new ClaimEvent.ReadFailed<>());
      return;
    }
    Optional<SimulatedClaimStore.Versioned> found = world.store.read();
    world.inProcess(
        process,
        () -> {
          lastRead = found;
          feed(found.map(this::found).orElseGet(ClaimEvent.Absent::new));
        });
  }

  private ClaimEvent<String> found(SimulatedClaimStore.Versioned found) {
    boolean mine = found.claim().attemptId().startsWith(process + "/");
    if (mine && world.abandoned.contains(found.claim().attemptId())) {
      return new ClaimEvent.Found<>(found.claim(), HolderState.ABANDONED);
    }
    HolderState judged = world.chance(0.5) ? HolderState.RUNNING : HolderState.GONE;
    return new ClaimEvent.Found<>(found.claim(), judged);
  }

  private void create() {
    if (world.fault == Fault.SEND_WITHOUT_CLAIM) {
      later(new ClaimEvent.Created<>());
      return;
    }
    world.onWire(
        () ->
            world.write(
                () -> world.store.create(claim),
                new SimulatedWorld.WriteListener() {
                  @Override
                  public void completed(boolean conditionHeld) {
                    later(
                        conditionHeld
                            ? new ClaimEvent.Created<>()
                            : new ClaimEvent.CreateRejected<>());
                  }

                  @Override
                  public void refused() {
                    later(new ClaimEvent.CreateRefused<>());
                  }

                  @Override
                  public void unknown() {
                    later(new ClaimEvent.CreateUnknown<>());
                  }
                }));
  }

  private void send() {
    if (world.faulty() && world.chance(0.5)) {
      later(new ClaimEvent.SendFailed<>(RunState.NO, NO_UPSTREAM));
      return;
    }
    world.sends++;
    if (world.faulty()) {
      world.onWire(this::execute);
      later(new ClaimEvent.SendFailed<>(RunState.UNKNOWN, BROKEN));
      return;
    }
    world.onWire(
        () -> {
          execute();
          world.onWire(() -> later(new ClaimEvent.Answered<>(answer())));
        });
  }

  private void execute() {
    world.executedAnswers.add(answer());
  }

  private String answer() {
    return "answer of " + claim.attemptId();
  }

  private void ask() {
    boolean knows = !world.executedAnswers.isEmpty() && world.chance(0.7);
    later(
        knows
            ? new ClaimEvent.OutcomeReceived<>(world.executedAnswers.get(0))
            : new ClaimEvent.OutcomeUnavailable<>());
  }

  /** Writes the outcome until the store shows it. */
  private void record(Claim.Outcome<String> outcome) {
    Optional<SimulatedClaimStore.Versioned> found = world.store.read();
    boolean own = found.filter(this::isOwn).isPresent();
    boolean over =
        own
            && found
                .get()
                .claim()
                .outcome()
                .filter(seen -> seen.answer().isPresent() || outcome.answer().isEmpty())
                .isPresent();
    if (!own || over) {
      if (!own && world.fault == Fault.NONE) {
        world.violations.add("the claim of a call that was sent is gone");
      }
      return;
    }
    long version = found.get().version();
    BooleanWrite update = () -> world.store.update(version, claim.withOutcome(outcome));
    retried(update, () -> record(outcome));
  }

  /** Removes the own claim until the store no longer shows it and nothing is on the wire. */
  private void remove() {
    Optional<SimulatedClaimStore.Versioned> found = world.store.read();
    if (found.filter(this::isOwn).isEmpty()) {
      if (world.chance(0.9)) {
        world.inProcess(process, this::remove);
      }
      return;
    }
    long version = found.get().version();
    retried(() -> world.store.delete(version), this::remove);
  }

  private void removeFound(long version) {
    world.store.delete(version);
    later(new ClaimEvent.Removed<>());
  }

  private void retried(BooleanWrite write, Runnable again) {
    world.onWire(
        () ->
            world.write(
                write::apply,
                new SimulatedWorld.WriteListener() {
                  @Override
                  public void completed(boolean conditionHeld) {
                    world.inProcess(process, again);
                  }

                  @Override
                  public void refused() {
                    world.inProcess(process, again);
                  }

                  @Override
                  public void unknown() {
                    world.inProcess(process, again);
                  }
                }));
  }

  private boolean isOwn(SimulatedClaimStore.Versioned found) {
    return found.claim().attemptId().equals(claim.attemptId());
  }

  private void reply(String answer) {
    world.replies++;
    replied();
    if (!world.executedAnswers.contains(answer)) {
      world.violations.add("answer of no execution: " + answer);
    }
  }

  private void refused(RunState runState) {
    replied();
    if (runState == RunState.NO && sendsBefore > 0) {
      world.violations.add("refused as not run although it was sent before the arrival");
    }
  }

  private void replied() {
    if (replied && world.fault == Fault.NONE) {
      world.violations.add("two answers to one arrival");
    }
    replied = true;
  }

  /** A conditional write that says whether its condition held. */
  private interface BooleanWrite {
    boolean apply();
  }
}
