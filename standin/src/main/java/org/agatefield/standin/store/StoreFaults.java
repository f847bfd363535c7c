package org.agatefield.standin.store;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Optional;

/**
 * The faults that the stand-in store injects; each POST replaces all of them. Immutable.
 *
 * @param down refuses every call with 503 without effect and ends all watches
 * @param hang neither answers nor applies any call
 * @param slowMilliseconds delay before a call takes effect
 * @param loseAnswersAfterEffect number of writes that are applied but whose response is lost
 * @param loseAnswersShare share of write responses to lose, from 0 to 1
 * @param seed of the random numbers for {@code loseAnswersShare}
 * @param delayEffectMilliseconds writes are not answered and take effect after this time
 * @param delayEffectCount number of writes with a delayed effect, or 0 for all
 * @param cutWatches ends all watches once
 * @param muteWatches keeps watches open without reporting changes
 * @param forgetChanges discards past changes, so that watchers must list again
 * @param keepCopy keeps a copy of the contents and names an era in responses from now on
 * @param restoreCopy comes back from the kept copy in a new era
 * @param lagMilliseconds reads, lists and watches of {@code lagKind} return the state from this
 *     long ago
 * @param lagKind the plural kind with stale reads; {@code instances} by default
 * @param kind limits lost responses and delayed effects to a plural kind
 * @param verb limits lost responses and delayed effects to create, update or delete
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
    boolean keepCopy,
    boolean restoreCopy,
    long lagMilliseconds,
    Optional<String> lagKind,
    Optional<String> kind,
    Optional<String> verb) {

  /** Replaces missing optional fields by empty values. */
  public StoreFaults {
    lagKind = lagKind == null ? Optional.empty() : lagKind;
    kind = kind == null ? Optional.empty() : kind;
    verb = verb == null ? Optional.empty() : verb;
  }

  /** Returns a configuration without faults. */
  public static StoreFaults none() {
    return new StoreFaults(
        false, false, 0, 0, 0, 0, 0, 0, false, false, false, false, false, 0, null, null, null);
  }

  /** Returns whether the write faults apply to a write. */
  boolean appliesTo(String plural, String writeVerb) {
    return kind.map(plural::equals).orElse(true) && verb.map(writeVerb::equals).orElse(true);
  }

  /** Returns the age of the state that reads of a kind return, in milliseconds. */
  long lagOf(String plural) {
    return lagKind.orElse("instances").equals(plural) ? lagMilliseconds : 0;
  }
}
