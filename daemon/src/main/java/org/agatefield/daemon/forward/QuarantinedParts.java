package org.agatefield.daemon.forward;

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
 * The quarantined prompt parts that one instance knows, and those whose quarantine is over.
 *
 * <p>The quarantines of a part are numbered from 1. Invariants: a quarantine whose number has ended
 * never begins again; of two quarantines of a part the one with the higher number applies. All
 * times are monotonic milliseconds of the caller. Confined to one event loop.
 */
final class QuarantinedParts {
  private static final Logger LOGGER = LogManager.getLogger(QuarantinedParts.class);

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

  boolean contains(String part) {
    return entries.containsKey(part);
  }

  Optional<Entry> entry(String part) {
    return Optional.ofNullable(entries.get(part));
  }

  Set<String> parts() {
    return Set.copyOf(entries.keySet());
  }

  /** Returns the number of the last quarantine of a part that is over; 0 if there was none. */
  int endedNumber(String part) {
    Ended last = ended.get(part);
    return last == null ? 0 : last.number();
  }

  /** Records that the store has lost what was written there last. */
  void storeLostHistory() {
    entries.values().forEach(entry -> entry.losses++);
  }

  /** Returns the parts whose last quarantine is over. */
  Set<String> endedParts() {
    return ended.keySet().stream()
        .filter(part -> !entries.containsKey(part))
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns when the last quarantine among parts ends; empty if none is quarantined. */
  OptionalLong until(Collection<String> parts, long now) {
    if (entries.isEmpty()) {
      return OptionalLong.empty();
    }
    return parts.stream()
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
   * @return whether the part was not quarantined before
   */
  boolean begin(
      String part, int number, long remainingMilliseconds, boolean stored, String cause, long now) {
    Entry before = entries.get(part);
    if (before != null && before.number == number) {
      before.stored |= stored;
    }
    boolean known = before != null && before.number >= number;
    if (known || number <= endedNumber(part) || remainingMilliseconds <= 0) {
      return false;
    }
    entries.put(part, new Entry(number, now, now + remainingMilliseconds, stored));
    LOGGER.warn(
        "part={} quarantined=true number={} cause=\"{}\" for_ms={}",
        part,
        number,
        cause,
        remainingMilliseconds);
    return before == null;
  }

  /**
   * Ends all quarantines of a part up to a number.
   *
   * @return whether the part is no longer quarantined because of this
   */
  boolean end(String part, int number, String cause, long now) {
    if (number > endedNumber(part)) {
      ended.put(part, new Ended(number, now));
    }
    Entry entry = entries.get(part);
    if (entry == null || entry.number > number) {
      return false;
    }
    entries.remove(part);
    LOGGER.warn("part={} quarantined=false number={} cause=\"{}\"", part, entry.number, cause);
    return true;
  }

  /** Ends the quarantines whose time is over and returns their parts. */
  List<String> expire(long now) {
    List<String> expired = new ArrayList<>();
    for (String part : parts()) {
      Entry entry = entries.get(part);
      if (entry.until <= now && end(part, entry.number, "time is over", now)) {
        expired.add(part);
      }
    }
    return expired;
  }

  /** Forgets quarantines that ended longer ago than the given time. */
  void forgetEnded(long milliseconds, long now) {
    ended.values().removeIf(each -> now - each.at() > milliseconds);
  }

  /** Returns the quarantines for another instance. */
  List<PeerMessage.QuarantinedPart> messages(Collection<String> parts, long now) {
    List<PeerMessage.QuarantinedPart> messages = new ArrayList<>();
    for (String part : parts) {
      entry(part)
          .map(
              entry ->
                  new PeerMessage.QuarantinedPart(
                      part, entry.number, Math.max(0, entry.until - now), entry.stored))
          .ifPresent(messages::add);
    }
    return messages;
  }

  /** Returns the ends of quarantines of the given parts for another instance. */
  List<PeerMessage.EndedQuarantine> endedMessages(Collection<String> parts) {
    return parts.stream()
        .filter(ended::containsKey)
        .map(part -> new PeerMessage.EndedQuarantine(part, endedNumber(part)))
        .toList();
  }

  /** Returns the ends of all quarantines for another instance. */
  List<PeerMessage.EndedQuarantine> endedMessages() {
    return endedMessages(ended.keySet());
  }
}
