package org.agatefield.forwarding;

/** Sends every request at once; used as a baseline. Stateless. */
public final class AlwaysSendPolicy implements SendPolicy {
  @Override
  public Decision decide(RunnerCandidate candidate, Timing timing) {
    return Decision.SEND;
  }
}
