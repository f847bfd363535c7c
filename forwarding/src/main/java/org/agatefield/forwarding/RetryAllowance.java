package org.agatefield.forwarding;

/** Grants attempts beyond a request's first one. */
@FunctionalInterface
public interface RetryAllowance {
  /** Takes one further attempt; returns false if none is left. */
  boolean tryTake();
}
