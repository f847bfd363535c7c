package org.agatefield.idempotency;

import java.util.Optional;
import org.agatefield.idempotency.ClaimEvent.HolderState;
import org.agatefield.idempotency.ClaimSimulation.Fault;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;

/** One attempt of the call in a process of the simulation. Confined to one thread. */
final class SimulatedAttempt {
  private static final Throwable NO_UPSTREAM =
      new AgatefieldException(ErrorKind.NO_UPSTREAM, "none");
  private static final Throwable BROKEN =
      new AgatefieldException(ErrorKind.UPSTREAM_FAILED, "broken");

  private final ClaimProtocol<String> protocol = new ClaimProtocol<>();
  private final ClaimSimulation simulation;
  private final int process;
  private final CallAttempt attempt;
  private final Claim<String> claim;
  private final int sendsBefore;
  private final long eraAtStart;
  private ClaimState<String> state = ClaimState.initial();
  private Optional<SimulatedClaimStore.Versioned> lastRead = Optional.empty();
  private boolean replied;

  SimulatedAttempt(ClaimSimulation simulation, int process) {
    this.simulation = simulation;
    this.process = process;
    String attemptId = process + "/" + simulation.random.nextInt(1_000_000);
    long joinUntil = simulation.now + simulation.random.nextInt(50);
    long deadline = simulation.now + 20 + simulation.random.nextInt(500);
    this.attempt = new CallAttempt(attemptId, "body", deadline, joinUntil, simulation.chance(0.3));
    this.claim = new Claim<>(attemptId, "" + process, "body", 0, 0, 0, Optional.empty());
    this.sendsBefore = simulation.sends;
    this.eraAtStart = simulation.store.era();
  }

  void start() {
    perform(protocol.begin());
  }

  private void later(ClaimEvent<String> event) {
    simulation.inProcess(process, () -> handle(event));
  }

  private void handle(ClaimEvent<String> event) {
    ClaimEvent<String> altered = alter(event);
    ClaimStep<String> step = protocol.next(state, altered, attempt, simulation.now);
    state = step.state();
    perform(step);
  }

  /** Alters an event so that the protocol acts as if it had the fault. */
  private ClaimEvent<String> alter(ClaimEvent<String> event) {
    boolean readingBack = state.phase() == ClaimState.Phase.READING_BACK;
    if (simulation.fault == Fault.SEND_AFTER_ABSENT_READ_BACK
        && readingBack
        && event instanceof ClaimEvent.Absent) {
      return new ClaimEvent.Found<>(claim, HolderState.RUNNING, true);
    }
    if (simulation.fault == Fault.RELEASE_WITHOUT_PROOF
        && event instanceof ClaimEvent.SendFailed<String> failed) {
      return new ClaimEvent.SendFailed<>(RunState.NO, failed.error());
    }
    if (simulation.fault == Fault.TAKE_OVER_CLAIM_OF_DEAD_HOLDER
        && event instanceof ClaimEvent.Found<String> found
        && found.holderState() == HolderState.GONE
        && found.claim().outcome().isEmpty()
        && !readingBack) {
      return new ClaimEvent.Found<>(found.claim(), HolderState.ABANDONED, found.conclusive());
    }
    if (simulation.fault == Fault.REFUSE_AS_NOT_RUN_WITHOUT_READING
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
      simulation.onWire(this::read);
    } else if (action instanceof ClaimAction.Acquire || action instanceof ClaimAction.Reacquire) {
      later(
          simulation.faulty()
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
      queryService();
    } else if (action instanceof ClaimAction.Record<String> write) {
      write
          .outcome()
          .answer()
          .ifPresent(known -> simulation.answersBeingRecorded.add(claim.attemptId()));
      simulation.inProcess(process, () -> record(write.outcome()));
    } else {
      performEnd(action);
    }
  }

  private void performEnd(ClaimAction<String> action) {
    if (action instanceof ClaimAction.Remove) {
      simulation.abandoned.add(attempt.attemptId());
      simulation.inProcess(process, this::remove);
    } else if (action instanceof ClaimAction.RemoveFound) {
      long version = lastRead.orElseThrow().version();
      simulation.onWire(() -> removeFound(version));
    } else if (action instanceof ClaimAction.RecordForOther<String> write) {
      long version = lastRead.orElseThrow().version();
      Claim<String> answered =
          write.claim().withOutcome(new Claim.Outcome<>(Optional.of(write.answer())));
      simulation.onWire(() -> simulation.store.update(version, answered));
    } else if (action instanceof ClaimAction.Reply<String> reply) {
      reply(reply.answer());
    } else if (action instanceof ClaimAction.Refuse<String> refusal) {
      refused(refusal.runState());
    } else if (action instanceof ClaimAction.RefuseWithError<String> refusal) {
      refused(((AgatefieldException) refusal.error()).runState());
    }
  }

  private void read() {
    if (simulation.faulty()) {
      later(new ClaimEvent.ReadFailed<>());
      return;
    }
    Optional<SimulatedClaimStore.Versioned> found = simulation.store.read();
    boolean conclusive = simulation.conclusive();
    simulation.inProcess(
        process,
        () -> {
          lastRead = found;
          handle(
              found
                  .map(each -> foundEvent(each, conclusive))
                  .orElseGet(() -> new ClaimEvent.Absent<>(conclusive)));
        });
  }

  private ClaimEvent<String> foundEvent(SimulatedClaimStore.Versioned found, boolean conclusive) {
    boolean mine = found.claim().attemptId().startsWith(process + "/");
    if (mine && simulation.abandoned.contains(found.claim().attemptId())) {
      return new ClaimEvent.Found<>(found.claim(), HolderState.ABANDONED, conclusive);
    }
    HolderState holderState = simulation.chance(0.5) ? HolderState.RUNNING : HolderState.GONE;
    return new ClaimEvent.Found<>(found.claim(), holderState, conclusive);
  }

  private void create() {
    if (simulation.fault == Fault.SEND_WITHOUT_CLAIM) {
      later(new ClaimEvent.Created<>(true));
      return;
    }
    simulation.onWire(
        () ->
            simulation.write(
                simulation.store.era(),
                () -> simulation.store.create(claim),
                new ClaimSimulation.WriteListener() {
                  @Override
                  public void completed(boolean conditionHeld) {
                    later(
                        conditionHeld
                            ? new ClaimEvent.Created<>(simulation.conclusive())
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
    if (simulation.faulty() && simulation.chance(0.5)) {
      later(new ClaimEvent.SendFailed<>(RunState.NO, NO_UPSTREAM));
      return;
    }
    simulation.sends++;
    if (simulation.faulty()) {
      simulation.onWire(this::execute);
      later(new ClaimEvent.SendFailed<>(RunState.UNKNOWN, BROKEN));
      return;
    }
    simulation.onWire(
        () -> {
          execute();
          simulation.onWire(() -> later(new ClaimEvent.Answered<>(answer())));
        });
  }

  private void execute() {
    simulation.executedAnswers.add(answer());
  }

  private String answer() {
    return "answer of " + claim.attemptId();
  }

  private void queryService() {
    boolean knows = !simulation.executedAnswers.isEmpty() && simulation.chance(0.7);
    later(
        knows
            ? new ClaimEvent.OutcomeReceived<>(simulation.executedAnswers.get(0))
            : new ClaimEvent.OutcomeUnavailable<>());
  }

  /** Writes the outcome until the store contains it. */
  private void record(Claim.Outcome<String> outcome) {
    Optional<SimulatedClaimStore.Versioned> found = simulation.store.read();
    boolean own = found.filter(this::isOwn).isPresent();
    boolean over =
        own
            && found
                .get()
                .claim()
                .outcome()
                .filter(seen -> seen.answer().isPresent() || outcome.answer().isEmpty())
                .isPresent();
    boolean answered =
        found.flatMap(each -> each.claim().outcome()).flatMap(Claim.Outcome::answer).isPresent();
    if (over || answered) {
      simulation.answersRecorded.add(claim.attemptId());
      return;
    }
    if (!own && simulation.store.era() == eraAtStart) {
      if (simulation.fault == Fault.NONE) {
        simulation.violations.add("the claim of a call that was sent is missing");
      }
      return;
    }
    Claim<String> recorded = claim.withOutcome(outcome);
    BooleanWrite write =
        found
            .map(SimulatedClaimStore.Versioned::version)
            .<BooleanWrite>map(version -> () -> simulation.store.update(version, recorded))
            .orElse(() -> simulation.store.create(recorded));
    writeWithRetry(write, () -> record(outcome));
  }

  /** Removes the own claim, with retries while its creation may still take effect. */
  private void remove() {
    Optional<SimulatedClaimStore.Versioned> found = simulation.store.read();
    if (found.filter(this::isOwn).isEmpty()) {
      if (simulation.chance(0.9)) {
        simulation.inProcess(process, this::remove);
      }
      return;
    }
    long version = found.get().version();
    writeWithRetry(() -> simulation.store.delete(version), this::remove);
  }

  private void removeFound(long version) {
    simulation.store.delete(version);
    later(new ClaimEvent.Removed<>());
  }

  private void writeWithRetry(BooleanWrite write, Runnable again) {
    long era = simulation.store.era();
    simulation.onWire(
        () ->
            simulation.write(
                era,
                write::apply,
                new ClaimSimulation.WriteListener() {
                  @Override
                  public void completed(boolean conditionHeld) {
                    simulation.inProcess(process, again);
                  }

                  @Override
                  public void refused() {
                    simulation.inProcess(process, again);
                  }

                  @Override
                  public void unknown() {
                    simulation.inProcess(process, again);
                  }
                }));
  }

  private boolean isOwn(SimulatedClaimStore.Versioned found) {
    return found.claim().attemptId().equals(claim.attemptId());
  }

  private void reply(String answer) {
    simulation.replies++;
    replied();
    if (!simulation.executedAnswers.contains(answer)) {
      simulation.violations.add("answer does not come from an execution: " + answer);
    }
  }

  private void refused(RunState runState) {
    replied();
    if (runState == RunState.NO && sendsBefore > 0) {
      simulation.violations.add("refused as not run although the call was sent before the attempt");
    }
  }

  private void replied() {
    if (replied && simulation.fault == Fault.NONE) {
      simulation.violations.add("two answers to one attempt");
    }
    replied = true;
  }

  /** A conditional write that returns whether its condition held. */
  private interface BooleanWrite {
    boolean apply();
  }
}
