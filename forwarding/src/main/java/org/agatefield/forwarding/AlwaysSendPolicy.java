package org.agatefield.forwarding;

/** The baseline: every request is sent at once. Stateless. */
public final class AlwaysSendPolicy implements SendPolicy {
  @Override
  public Decision decide(RunnerCandidate candidate, Timing timing) {
    return Decision.SEND;
  }
}
