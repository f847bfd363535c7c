package org.agatefield.cost;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this instance's attempts still require of each runner, and how much slower than usual each
 * runner is at the moment.
 *
 * <p>Invariants: an attempt counts from its start to its end, and nothing is left when all have
 * ended; the slowness of a moment fades within a second or two. Confined to one thread.
 */
public final class WorkLeft {
  /** Runners of which the last slowness is remembered although they have no attempt. */
  private static final int MAXIMUM_IDLE_RUNNERS = 512;

  private static final double SLOWNESS_HALF_LIFE_MILLISECONDS = 400;
  private static final double SLOWNESS_STEP = 0.5;
  private static final double MAXIMUM_SLOWNESS_LOGARITHM = Math.log(4);
  // Deviations below this come from the network and from event loops.
  private static final double INSTANCE_DELAYS_PER_ATTEMPT = 3; // Connect, send, first event.
  private static final double TOLERANCE_MILLISECONDS = 60;
  private static final double TOLERANCE_SHARE = 0.25;
  private static final double MAXIMUM_OVERDUE_MILLISECONDS = 2_000;
  private static final double MILLISECONDS_PER_OUTPUT_TOKEN = 10;
  // A request that will soon have finished hardly slows one that starts now.
  private static final double FULLY_COUNTED_OUTPUT_TOKENS = 40;

  private final Map<String, Runner> runners = new HashMap<>();
  private double instanceDelayMilliseconds;

  private static final class Runner {
    private final List<AttemptWork> attempts = new ArrayList<>();
    private double slownessLogarithm;
    private long slownessAt;
  }

  /** Records that an attempt starts. */
  public AttemptWork started(
      String runner, AttemptWork.Expectation expectation, long nowMilliseconds) {
    AttemptWork attempt = new AttemptWork(runner, expectation, nowMilliseconds);
    runner(runner, nowMilliseconds).attempts.add(attempt);
    return attempt;
  }

  /**
   * Records the first event of an attempt, or its whole answer.
   *
   * @return whether it is the first and the attempt has not ended
   */
  public boolean firstEvent(AttemptWork attempt, long nowMilliseconds) {
    if (attempt.hasBegun() || attempt.hasEnded()) {
      return false;
    }
    attempt.begin(nowMilliseconds);
    Runner runner = runner(attempt.runner(), nowMilliseconds);
    double expected = attempt.expectation().firstEventMilliseconds();
    double late = lateMilliseconds(attempt, nowMilliseconds);
    double sample =
        late <= 0
            ? 0
            : Math.min(
                MAXIMUM_SLOWNESS_LOGARITHM,
                Math.log1p(late / Math.max(TOLERANCE_MILLISECONDS, expected)));
    double before = fadedSlowness(runner, nowMilliseconds);
    runner.slownessLogarithm = before + SLOWNESS_STEP * (sample - before);
    runner.slownessAt = nowMilliseconds;
    return true;
  }

  /**
   * Records that an attempt ended, however it did.
   *
   * @return whether it had not ended before
   */
  public boolean ended(AttemptWork attempt) {
    if (!attempt.end()) {
      return false;
    }
    Runner runner = runners.get(attempt.runner());
    if (runner != null) {
      runner.attempts.remove(attempt);
    }
    return true;
  }

  /** Forgets the slowness of a runner that left or started again; its attempts end on their own. */
  public void forgetSlowness(String runner) {
    Runner known = runners.get(runner);
    if (known != null && known.attempts.isEmpty()) {
      runners.remove(runner);
    } else if (known != null) {
      known.slownessLogarithm = 0;
    }
  }

  /** Returns the number of attempts that have not ended. */
  public int attempts(String runner) {
    Runner known = runners.get(runner);
    return known == null ? 0 : known.attempts.size();
  }

  /** Returns by which factor a runner was slower than expected lately; at least 1. */
  public double slowness(String runner, long nowMilliseconds) {
    Runner known = runners.get(runner);
    return known == null ? 1 : Math.exp(fadedSlowness(known, nowMilliseconds));
  }

  /**
   * Returns for how long the most overdue first event of a runner has been missing, which is also
   * how much longer it can be expected to take.
   */
  public double overdueMilliseconds(String runner, long nowMilliseconds) {
    Runner known = runners.get(runner);
    double overdue = 0;
    if (known != null) {
      for (AttemptWork each : known.attempts) {
        if (!each.hasBegun()) {
          overdue = Math.max(overdue, lateMilliseconds(each, nowMilliseconds));
        }
      }
    }
    return Math.min(MAXIMUM_OVERDUE_MILLISECONDS, overdue);
  }

  /** Returns how many of this instance's outputs a runner is writing, each by what is left. */
  public double writing(String runner, long nowMilliseconds) {
    Runner known = runners.get(runner);
    double writing = 0;
    if (known != null) {
      for (AttemptWork each : known.attempts) {
        double written =
            each.hasBegun()
                ? (nowMilliseconds - each.writingSince()) / MILLISECONDS_PER_OUTPUT_TOKEN
                : 0;
        // One that lasts longer than expected still writes.
        double left = Math.max(1, each.expectation().outputTokens() - written);
        writing += Math.min(1, left / FULLY_COUNTED_OUTPUT_TOKENS);
      }
    }
    return writing;
  }

  /** Returns the token memory of attempts that started after a time. */
  public double memoryTokensSince(String runner, long sinceMilliseconds) {
    Runner known = runners.get(runner);
    double tokens = 0;
    if (known != null) {
      for (AttemptWork each : known.attempts) {
        if (each.sentAt() > sinceMilliseconds) {
          tokens += each.expectation().memoryTokens();
        }
      }
    }
    return tokens;
  }

  /**
   * Sets by how much this instance itself is behind, which is no fault of the runners: it notices
   * both the connection and the first event of an attempt that much later.
   */
  public void instanceDelayed(double milliseconds) {
    instanceDelayMilliseconds = milliseconds;
  }

  private double lateMilliseconds(AttemptWork attempt, long now) {
    double expected = attempt.expectation().firstEventMilliseconds();
    double tolerated =
        TOLERANCE_MILLISECONDS + INSTANCE_DELAYS_PER_ATTEMPT * instanceDelayMilliseconds;
    return now - attempt.sentAt() - expected * (1 + TOLERANCE_SHARE) - tolerated;
  }

  private static double fadedSlowness(Runner runner, long now) {
    if (runner.slownessLogarithm == 0) {
      return 0;
    }
    double elapsed = Math.max(0, now - runner.slownessAt);
    return runner.slownessLogarithm * Math.pow(0.5, elapsed / SLOWNESS_HALF_LIFE_MILLISECONDS);
  }

  private Runner runner(String id, long now) {
    Runner known = runners.get(id);
    if (known == null) {
      if (runners.size() >= MAXIMUM_IDLE_RUNNERS) {
        runners.values().removeIf(each -> each.attempts.isEmpty());
      }
      known = new Runner();
      known.slownessAt = now;
      runners.put(id, known);
    }
    return known;
  }
}
