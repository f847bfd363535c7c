package org.agatefield.forwarding;

/** Grants additional attempts after the first attempt of a request. */
@FunctionalInterface
public interface RetryAllowance {
  /** Takes one additional attempt; returns false if none is available. */
  boolean tryTake();

  /** Returns whether an additional attempt could be taken now. */
  default boolean isAvailable() {
    return true;
  }
}
