package org.agatefield.standin.store;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Optional;

/**
 * The faults that a test asks of the stand-in store; each post replaces all of them. Immutable.
 *
 * @param down every call is refused with 503 without effect and watches end
 * @param hang no call is answered and none takes effect
 * @param slowMilliseconds delay before a call takes effect
 * @param loseAnswersAfterEffect how many answers of writes to lose after the write took effect
 * @param loseAnswersShare share of the answers of writes to lose, from 0 to 1
 * @param seed of the draws for {@code loseAnswersShare}
 * @param delayEffectMilliseconds writes get no answer and take effect after this time
 * @param delayEffectCount how many writes that holds for, or 0 for all
 * @param cutWatches end all watches once
 * @param muteWatches watches stay open and report nothing
 * @param forgetChanges forget past changes, so that watches must list again
 * @param lagMilliseconds reads, lists and watches of {@code lagKind} show the state this long ago
 * @param lagKind the plural kind that lags; {@code instances} if none is named
 * @param kind limits lost answers and late effects to a plural kind
 * @param verb limits lost answers and late effects to create, update or delete
 */
@JsonIgnoreProperties(ignoreUnknown = false)
public record StoreFaults(
    boolean down,
    boolean hang,
    long slowMilliseconds,
    int loseAnswersAfterEffect,
    double loseAnswersShare,
    long seed,
    long delayEffectMilliseconds,
    int delayEffectCount,
    boolean cutWatches,
    boolean muteWatches,
    boolean forgetChanges,
    long lagMilliseconds,
    Optional<String> lagKind,
    Optional<String> kind,
    Optional<String> verb) {

  /** Fills in what a document leaves out. */
  public StoreFaults {
    lagKind = lagKind == null ? Optional.empty() : lagKind;
    kind = kind == null ? Optional.empty() : kind;
    verb = verb == null ? Optional.empty() : verb;
  }

  /** Returns the faults of a store that works. */
  public static StoreFaults none() {
    return new StoreFaults(
        false, false, 0, 0, 0, 0, 0, 0, false, false, false, 0, null, null, null);
  }

  /** Returns whether faults of writes hold for a write. */
  boolean concerns(String plural, String writeVerb) {
    return kind.map(plural::equals).orElse(true) && verb.map(writeVerb::equals).orElse(true);
  }

  /** Returns how long ago the state is that reads of a kind show, in milliseconds. */
  long lagOf(String plural) {
    return lagKind.orElse("instances").equals(plural) ? lagMilliseconds : 0;
  }
}
