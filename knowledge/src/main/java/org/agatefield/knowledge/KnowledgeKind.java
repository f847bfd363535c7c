package org.agatefield.knowledge;

import java.util.List;
import java.util.Optional;

/**
 * One kind of knowledge that instances share. Implementations are stateless and thread safe.
 *
 * <p>On the wire a value is a list of whole numbers. A later build may append numbers; an earlier
 * one passes over those that it does not know, and over kinds with an unknown name.
 *
 * @param <V> the type of a value, an immutable record
 */
public interface KnowledgeKind<V> {
  /** Returns how the kind is named, spread and kept. */
  Terms terms();

  /** Returns the name on the wire, which never changes. */
  default String name() {
    return terms().name();
  }

  /** Returns how far the kind is spread. */
  default Scope scope() {
    return terms().scope();
  }

  /** Returns the age from which a value no longer counts. */
  default long maximumAgeMilliseconds() {
    return terms().maximumAgeMilliseconds();
  }

  /**
   * Combines what two sources know of one subject. The operation is commutative and associative.
   */
  Observed<V> combine(Observed<V> first, Observed<V> second);

  /** Returns the numbers that stand for a value. */
  List<Long> encode(V value);

  /** Returns the value that numbers stand for; empty if they are too few or out of range. */
  Optional<V> decode(List<Long> numbers);

  /** Returns the observation that was made last; suits values that describe the subject whole. */
  static <V> Observed<V> newest(Observed<V> first, Observed<V> second) {
    return second.atMilliseconds() > first.atMilliseconds() ? second : first;
  }

  /** Returns whether there are enough numbers and the first ones are not negative. */
  static boolean areCounts(List<Long> numbers, int count) {
    return numbers.size() >= count && numbers.stream().limit(count).allMatch(each -> each >= 0);
  }

  /**
   * How a kind is named, spread and kept. Immutable.
   *
   * @param name the name on the wire, which never changes
   * @param maximumAgeMilliseconds the age from which a value no longer counts
   */
  record Terms(String name, Scope scope, long maximumAgeMilliseconds) {}

  /** How far a kind of knowledge is spread. */
  enum Scope {
    /** To the instances of the source's failure domain. */
    FAILURE_DOMAIN,
    /** To all instances. */
    FLEET
  }
}
