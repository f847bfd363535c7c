package org.agatefield.daemon.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.agatefield.membership.Liveness;
import org.agatefield.membership.MemberUpdate;
import org.agatefield.membership.Membership;
import org.agatefield.membership.MembershipAction;
import org.agatefield.membership.MembershipEvent;
import org.agatefield.membership.MembershipSettings;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.agatefield.peer.PeerTransport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs the {@link Membership} protocol over a {@link PeerTransport}.
 *
 * <p>{@link #handle} and {@link #received} must be called on one thread; {@link #self()} and {@link
 * #alive()} are immutable snapshots and safe for use by any thread.
 */
public final class MembershipDriver {
  private static final Logger LOGGER = LogManager.getLogger(MembershipDriver.class);

  private final Membership membership;
  private final PeerTransport transport;
  private final Supplier<List<PeerMessage.LeavingUpstream>> attachments;
  private final GenerationListener generationListener;
  private volatile Instance self;
  private volatile List<Instance> alive;
  private volatile List<Instance> reachable;

  /** Receives the configuration generations that members announce. */
  @FunctionalInterface
  public interface GenerationListener {
    /** Called when a member has announced that it has a configuration of that generation. */
    void observed(Instance holder, long generation);
  }

  /**
   * Creates a driver that knows no other member yet.
   *
   * @param attachments the notices of leaving upstreams to add to each message
   */
  public MembershipDriver(
      Instance self,
      MembershipSettings settings,
      PeerTransport transport,
      UniformRandomProvider random,
      Supplier<List<PeerMessage.LeavingUpstream>> attachments,
      GenerationListener generationListener) {
    this.self = self;
    this.alive = List.of(self);
    this.reachable = List.of(self);
    this.transport = transport;
    this.attachments = attachments;
    this.generationListener = generationListener;
    this.membership = new Membership(self, settings, random, now());
  }

  /** Returns the current entry of this instance. */
  public Instance self() {
    return self;
  }

  /** Returns all instances that are alive or suspected, this one first. */
  public List<Instance> alive() {
    return alive;
  }

  /** Returns all instances that are alive and not suspected, this one first. */
  public List<Instance> reachable() {
    return reachable;
  }

  /** Processes one event and performs the resulting actions. */
  public void handle(MembershipEvent event) {
    try {
      for (MembershipAction action : membership.handle(event, now())) {
        perform(action);
      }
    } catch (RuntimeException exception) {
      LOGGER.error("failed to process membership event={}", event, exception);
    }
  }

  /** Processes a membership message from a peer. */
  public void received(PeerMessage.Membership step) {
    handle(new MembershipEvent.Received(MembershipTranslator.fromPeer(step)));
  }

  private void perform(MembershipAction action) {
    if (action instanceof MembershipAction.Send send) {
      transport.send(
          send.address(), MembershipTranslator.toPeer(send.message(), attachments.get()));
    } else if (action instanceof MembershipAction.MemberChanged changed) {
      memberChanged(changed.update());
    } else if (action instanceof MembershipAction.GenerationObserved observation) {
      generationListener.observed(observation.holder(), observation.generation());
    }
  }

  private void memberChanged(MemberUpdate update) {
    LOGGER.info(
        "member={} liveness={} state={} incarnation={}",
        update.id(),
        update.liveness(),
        update.instance().state(),
        update.incarnation());
    self = membership.self().instance();
    List<Instance> instances = new ArrayList<>(List.of(self));
    List<Instance> unsuspected = new ArrayList<>(List.of(self));
    for (MemberUpdate member : membership.present()) {
      instances.add(member.instance());
      if (member.liveness() == Liveness.ALIVE) {
        unsuspected.add(member.instance());
      }
    }
    alive = List.copyOf(instances);
    reachable = List.copyOf(unsuspected);
  }

  private static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
