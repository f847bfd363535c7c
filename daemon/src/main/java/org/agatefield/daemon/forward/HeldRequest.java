package org.agatefield.daemon.forward;

import java.util.Optional;
import org.agatefield.forwarding.GenerationParameters;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The place of one request among those that wait for runners.
 *
 * <p>Invariant: while the request waits it counts once among the waiting requests, as demand for
 * its model and, if runners lack room for it, as pressure; a release gives up all three. Confined
 * to one event loop.
 */
final class HeldRequest implements WaitingRequests.WaitingRequest {
  private static final Logger LOGGER = LogManager.getLogger(HeldRequest.class);

  private final ForwardingContext context;
  private final String requestId;
  private final RoomClaim claim;
  private final Optional<GenerationParameters> prompt;
  private final Runnable selectRunner;
  private Optional<String> permitKey = Optional.empty();
  private boolean waiting;
  private boolean lacksRoom;
  private boolean inTurn;
  private long waitingSince;
  private long waitedMilliseconds;

  /**
   * Creates the place of a request that does not wait yet.
   *
   * @param selectRunner seeks a runner again, if the request still needs one
   */
  HeldRequest(
      ForwardingContext context,
      String requestId,
      RoomClaim claim,
      Optional<GenerationParameters> prompt,
      Runnable selectRunner) {
    this.context = context;
    this.requestId = requestId;
    this.claim = claim;
    this.prompt = prompt;
    this.selectRunner = selectRunner;
  }

  @Override
  public RoomClaim claim() {
    return claim;
  }

  @Override
  public boolean lacksRoom() {
    return lacksRoom;
  }

  @Override
  public Optional<String> permitKey() {
    return permitKey;
  }

  @Override
  public void retry() {
    release();
    inTurn = true;
    try {
      selectRunner.run();
    } finally {
      inTurn = false;
    }
  }

  /** Lets the request wait. */
  void hold() {
    if (waiting) {
      return; // An attempt failed whose replacement was already waiting.
    }
    waiting = true;
    waitingSince = MonotonicClock.milliseconds();
    prompt.ifPresent(terms -> context.demand().waiting(claim.service(), terms, 1));
    context.waiting().add(this);
  }

  /** Lets the request wait for a permit of limited runners. */
  void holdForPermit(String key) {
    permitKey = Optional.of(key);
    hold();
  }

  /** Records that the request no longer needs a permit. */
  void permitGranted() {
    permitKey = Optional.empty();
  }

  /** Lets the request wait until runners have room for it. */
  void holdForRoom() {
    if (!waiting) {
      lacksRoom = true;
      context.room().waiting(claim, 1);
      hold();
    }
  }

  /**
   * Lets a request that could be sent wait if others wait for the same room, whose turn may be
   * before its own.
   *
   * @return whether the request waits
   */
  boolean holdBehindOthers() {
    if (inTurn || !context.waiting().hasLine(claim)) {
      return false;
    }
    holdForRoom();
    context.waiting().roomChanged();
    return true;
  }

  /** Ends the wait, if the request waits. */
  void release() {
    if (!waiting) {
      return;
    }
    waiting = false;
    waitedMilliseconds += MonotonicClock.milliseconds() - waitingSince;
    if (lacksRoom) {
      lacksRoom = false;
      context.room().waiting(claim, -1);
    }
    prompt.ifPresent(terms -> context.demand().waiting(claim.service(), terms, -1));
    context.waiting().remove(this);
  }

  /** Returns how long the request has waited in all. */
  long waitedMilliseconds() {
    return waitedMilliseconds;
  }

  /** Records that the request is sent to a runner for the first time. */
  void admitted() {
    context.room().sent(claim, MonotonicClock.milliseconds());
    if (waitedMilliseconds > 0) {
      context.metrics().waited(claim.rank(), waitedMilliseconds);
    }
    if (claim.returned()) {
      context.metrics().returned(true);
    }
  }

  /** Records that the request is refused for lack of room. */
  void lacksRoomFor(RoomAllocation.Verdict verdict) {
    context.room().refused(claim, MonotonicClock.milliseconds());
    LOGGER.info(
        "request={} room=refused target={} priority={} account={} returned={} expected_ms={}"
            + " ahead={} per_second={} retry_ms={} waited_ms={}",
        requestId,
        claim.target(),
        claim.rank(),
        claim.caller(),
        claim.returned(),
        verdict.forecast().milliseconds(),
        (long) verdict.forecast().requestsAhead(),
        (long) verdict.forecast().perSecond(),
        verdict.returnMilliseconds(),
        waitedMilliseconds);
  }
}
