package org.agatefield.daemon.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.agatefield.peer.PeerMessage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The quarantined traits that one instance knows, and those whose quarantine is over.
 *
 * <p>The quarantines of a trait are numbered from 1. Invariants: a quarantine whose number has
 * ended never begins again; of two quarantines of a trait the one with the higher number applies.
 * All times are monotonic milliseconds of the caller. Confined to one event loop.
 */
final class QuarantinedTraits {
  private static final Logger LOGGER = LogManager.getLogger(QuarantinedTraits.class);

  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, Ended> ended = new HashMap<>();

  /** A quarantine that applies. */
  static final class Entry {
    private final int number;
    private final long beganAt;
    private final long until;
    private boolean stored;
    private int losses;
    private int lossesBeforeSaving;
    private int lossesSaved;
    private boolean saving;

    private Entry(int number, long beganAt, long until, boolean stored) {
      this.number = number;
      this.beganAt = beganAt;
      this.until = until;
      this.stored = stored;
    }

    int number() {
      return number;
    }

    /** Returns when this instance learnt of the quarantine. */
    long beganAt() {
      return beganAt;
    }

    long until() {
      return until;
    }

    /** Returns whether the quarantine is neither stored nor being stored by this instance. */
    boolean needsSaving() {
      return (isLost() || !stored) && !saving;
    }

    /** Returns whether the store has lost the quarantine as far as this instance knows. */
    boolean isLost() {
      return losses > lossesSaved;
    }

    void savingStarted() {
      saving = true;
      lossesBeforeSaving = losses;
    }

    void savingEnded(boolean succeeded) {
      saving = false;
      if (succeeded) {
        stored = true;
        lossesSaved = lossesBeforeSaving;
      }
    }
  }

  private record Ended(int number, long at) {}

  int size() {
    return entries.size();
  }

  boolean isEmpty() {
    return entries.isEmpty() && ended.isEmpty();
  }

  boolean contains(String trait) {
    return entries.containsKey(trait);
  }

  Optional<Entry> entry(String trait) {
    return Optional.ofNullable(entries.get(trait));
  }

  Set<String> traits() {
    return Set.copyOf(entries.keySet());
  }

  /** Returns when the quarantine of each trait ends. */
  Map<String, Long> endTimes() {
    return entries.entrySet().stream()
        .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, each -> each.getValue().until()));
  }

  /** Returns the number of the last quarantine of a trait that is over; 0 if there was none. */
  int endedNumber(String trait) {
    Ended last = ended.get(trait);
    return last == null ? 0 : last.number();
  }

  /** Records that the store has lost what was written there last. */
  void storeLostHistory() {
    entries.values().forEach(entry -> entry.losses++);
  }

  /** Returns the traits whose last quarantine is over. */
  Set<String> endedTraits() {
    return ended.keySet().stream()
        .filter(trait -> !entries.containsKey(trait))
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns when the last quarantine among traits ends; empty if none is quarantined. */
  OptionalLong until(Collection<String> traits, long now) {
    if (entries.isEmpty()) {
      return OptionalLong.empty();
    }
    return traits.stream()
        .map(entries::get)
        .filter(entry -> entry != null && entry.until > now)
        .mapToLong(entry -> entry.until)
        .max();
  }

  /**
   * Begins a quarantine unless it is known or over.
   *
   * @param remainingMilliseconds the time until it ends
   * @param stored whether the store holds it
   * @return whether the trait was not quarantined before
   */
  boolean begin(
      String trait,
      int number,
      long remainingMilliseconds,
      boolean stored,
      String cause,
      long now) {
    Entry before = entries.get(trait);
    if (before != null && before.number == number) {
      before.stored |= stored;
    }
    boolean known = before != null && before.number >= number;
    if (known || number <= endedNumber(trait) || remainingMilliseconds <= 0) {
      return false;
    }
    entries.put(trait, new Entry(number, now, now + remainingMilliseconds, stored));
    LOGGER.warn(
        "trait={} quarantined=true number={} cause=\"{}\" for_ms={}",
        trait,
        number,
        cause,
        remainingMilliseconds);
    return before == null;
  }

  /**
   * Ends all quarantines of a trait up to a number.
   *
   * @return whether the trait is no longer quarantined because of this
   */
  boolean end(String trait, int number, String cause, long now) {
    if (number > endedNumber(trait)) {
      ended.put(trait, new Ended(number, now));
    }
    Entry entry = entries.get(trait);
    if (entry == null || entry.number > number) {
      return false;
    }
    entries.remove(trait);
    LOGGER.warn("trait={} quarantined=false number={} cause=\"{}\"", trait, entry.number, cause);
    return true;
  }

  /** Ends the quarantines whose time is over and returns their traits. */
  List<String> expire(long now) {
    List<String> expired = new ArrayList<>();
    for (String trait : traits()) {
      Entry entry = entries.get(trait);
      if (entry.until <= now && end(trait, entry.number, "time is over", now)) {
        expired.add(trait);
      }
    }
    return expired;
  }

  /** Forgets quarantines that ended longer ago than the given time. */
  void forgetEnded(long milliseconds, long now) {
    ended.values().removeIf(each -> now - each.at() > milliseconds);
  }

  /** Returns the quarantines for another instance. */
  List<PeerMessage.QuarantinedTrait> messages(Collection<String> traits, long now) {
    List<PeerMessage.QuarantinedTrait> messages = new ArrayList<>();
    for (String trait : traits) {
      entry(trait)
          .map(
              entry ->
                  new PeerMessage.QuarantinedTrait(
                      trait, entry.number, Math.max(0, entry.until - now), entry.stored))
          .ifPresent(messages::add);
    }
    return messages;
  }

  /** Returns the ends of quarantines of the given traits for another instance. */
  List<PeerMessage.EndedQuarantine> endedMessages(Collection<String> traits) {
    return traits.stream()
        .filter(ended::containsKey)
        .map(trait -> new PeerMessage.EndedQuarantine(trait, endedNumber(trait)))
        .toList();
  }

  /** Returns the ends of all quarantines for another instance. */
  List<PeerMessage.EndedQuarantine> endedMessages() {
    return endedMessages(ended.keySet());
  }
}
