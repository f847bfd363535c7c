package org.agatefield.daemon.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.agatefield.forwarding.CrashAttribution;
import org.agatefield.peer.PeerMessage;

/**
 * The evidence about crashes of runners that one instance has collected, and what of it the other
 * instances have been told.
 *
 * <p>Invariant: the size is bounded however many requests there are, as most traits occur in one of
 * them only. Survivals are kept for a minute, and longer only for traits that were in hand at a
 * crash that is still evidence; they are shared only for suspects. All times are monotonic
 * milliseconds of the caller. Confined to one event loop.
 */
final class SharedCrashEvidence {
  private final CrashAttribution attribution = new CrashAttribution();
  private final Set<String> suspected = new HashSet<>();
  private final Map<String, Long> sharedSurvivals = new HashMap<>();

  /**
   * Records a crash with its suspects and the greatest position of each among those of its
   * requests.
   */
  void crashed(CrashAttribution.Crash crash, Map<String, Integer> positions, long at) {
    attribution.crashed(crash, positions, at);
    positions.keySet().stream()
        .filter(trait -> !attribution.isSound(trait, at))
        .forEach(suspected::add);
  }

  /** Records that a runner survived a trait; returns whether the trait was suspected. */
  boolean survived(String trait, long at) {
    attribution.survived(trait, at);
    return suspected.remove(trait);
  }

  /** Notes that the other instances know that a trait was survived at a time. */
  void survivalShared(String trait, long at) {
    sharedSurvivals.merge(trait, at, Math::max);
  }

  /** Returns those of the suspects of a crash that are sound as only this instance may know. */
  List<String> unsharedSound(Collection<String> suspects, long crashAt) {
    List<String> sound = new ArrayList<>();
    for (String trait : suspects) {
      Long shared = sharedSurvivals.get(trait);
      boolean known = shared != null && crashAt - shared <= CrashAttribution.SOUND_MILLISECONDS;
      if (attribution.isSound(trait, crashAt) && !known) {
        sound.add(trait);
      }
    }
    return sound;
  }

  boolean isSound(String trait, long at) {
    return attribution.isSound(trait, at);
  }

  boolean hasCrashed(CrashAttribution.Crash process) {
    return attribution.isRecorded(process);
  }

  boolean isSuspected(String trait) {
    return suspected.contains(trait);
  }

  /** Returns the traits that cause crashes besides those that are quarantined. */
  Set<String> culprits(Set<String> quarantined) {
    return attribution.culprits(quarantined);
  }

  Set<CrashAttribution.Crash> crashesOf(String trait) {
    return attribution.crashesOf(trait);
  }

  void forgetOld(long now) {
    attribution.forgetOld(now);
    sharedSurvivals.values().removeIf(at -> now - at > CrashAttribution.EVIDENCE_MILLISECONDS);
    if (!suspected.isEmpty()) {
      suspected.retainAll(attribution.suspects());
    }
  }

  /** Returns whether there is no crash to tell other instances about. */
  boolean isEmpty(long now) {
    return recent(now).isEmpty();
  }

  /** Returns the recent crashes for another instance; older ones have reached those in touch. */
  List<PeerMessage.RunnerCrash> crashMessages(long now) {
    return recent(now).entrySet().stream()
        .map(each -> message(each.getKey(), each.getValue(), now))
        .toList();
  }

  /** Returns a recent crash for another instance; empty if too many others followed it. */
  Optional<PeerMessage.RunnerCrash> crashMessage(CrashAttribution.Crash crash, long now) {
    return Optional.ofNullable(recent(now).get(crash)).map(record -> message(crash, record, now));
  }

  private Map<CrashAttribution.Crash, CrashAttribution.RecordedCrash> recent(long now) {
    return attribution.recent(CrashAttribution.REPORT_MILLISECONDS, now);
  }

  private static PeerMessage.RunnerCrash message(
      CrashAttribution.Crash crash, CrashAttribution.RecordedCrash record, long now) {
    return new PeerMessage.RunnerCrash(
        crash.runner(),
        crash.startTimeMilliseconds(),
        Math.max(0, now - record.at()),
        record.positions());
  }

  /** Returns the survivals of traits for another instance. */
  List<PeerMessage.TraitSurvival> survivalMessages(Collection<String> traits, long now) {
    List<PeerMessage.TraitSurvival> messages = new ArrayList<>();
    for (String trait : traits) {
      long at = attribution.lastSurvival(trait).orElse(now);
      messages.add(new PeerMessage.TraitSurvival(trait, Math.max(0, now - at)));
    }
    return messages;
  }
}
