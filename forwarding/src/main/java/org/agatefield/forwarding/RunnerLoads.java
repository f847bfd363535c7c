package org.agatefield.forwarding;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.forwarding.GenerationParameters.PromptPart;

/**
 * What is known of the work at each runner: this instance's own, and what neighbours tell.
 *
 * <p>Invariant: own counts return to zero when every attempt has ended. What a neighbour told is
 * dropped once it is older than {@link #MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS}. Confined to one thread.
 */
public final class RunnerLoads {
  /** How long what a neighbour told counts; it is told again several times in that time. */
  public static final long MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS = 1_000;

  private static final double SMOOTHING = 0.15;
  // An H100 reads a prompt of a 32-billion model at some 19 tokens a millisecond.
  private static final double INITIAL_MILLISECONDS_PER_TOKEN = 0.06;
  private static final double MAXIMUM_MILLISECONDS_PER_TOKEN = 0.3; // five times the usual
  private static final double MINIMUM_TOKENS = 500; // fewer say little about the rate
  private static final double FIRST_STEP_MILLISECONDS = 90; // the step after the last piece
  private static final double INITIAL_MILLISECONDS_PER_REQUEST = 80;
  private static final int CACHED_PARTS_PER_RUNNER = 512;

  private final Map<String, OwnLoad> own = new HashMap<>();
  private final Map<String, NeighbourLoad> neighbours = new HashMap<>();

  private static final class OwnLoad {
    private int running;
    private int pendingPrefillTokens;
    private double millisecondsPerToken = INITIAL_MILLISECONDS_PER_TOKEN;
    private double millisecondsPerRequest = INITIAL_MILLISECONDS_PER_REQUEST;
    private final Map<String, Boolean> recordCachedParts =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > CACHED_PARTS_PER_RUNNER;
          }
        };
  }

  /**
   * Work at one runner. Immutable.
   *
   * @param running requests
   * @param pendingPrefillTokens prompt tokens of requests that have not begun
   */
  public record Load(int running, int pendingPrefillTokens) {
    Load plus(Load other) {
      return new Load(running + other.running, pendingPrefillTokens + other.pendingPrefillTokens);
    }
  }

  private record NeighbourLoad(Map<String, Load> shares, long atMilliseconds) {}

  /** Records that a request was sent. */
  public void sent(String runner, int uncachedPromptTokens) {
    OwnLoad load = load(runner);
    load.running++;
    load.pendingPrefillTokens += uncachedPromptTokens;
  }

  /** Records that the runner began to answer, or that the attempt ended before it did. */
  public void prefillEnded(String runner, int uncachedPromptTokens) {
    OwnLoad load = load(runner);
    load.pendingPrefillTokens = Math.max(0, load.pendingPrefillTokens - uncachedPromptTokens);
  }

  /** Records that an attempt ended. */
  public void ended(String runner) {
    OwnLoad load = load(runner);
    load.running = Math.max(0, load.running - 1);
  }

  /**
   * Learns how fast a runner reads.
   *
   * @param tokensAhead tokens that stood before the request, its own included
   */
  public void recordPrefillTime(String runner, double tokensAhead, double milliseconds) {
    OwnLoad load = load(runner);
    double reading = Math.max(0, milliseconds - FIRST_STEP_MILLISECONDS);
    double sample =
        Math.min(MAXIMUM_MILLISECONDS_PER_TOKEN, reading / Math.max(MINIMUM_TOKENS, tokensAhead));
    load.millisecondsPerToken += SMOOTHING * (sample - load.millisecondsPerToken);
  }

  /** Learns how long a runner takes for a plain request. */
  public void recordRequestTime(String runner, double milliseconds) {
    OwnLoad load = load(runner);
    load.millisecondsPerRequest += SMOOTHING * (milliseconds - load.millisecondsPerRequest);
  }

  /** Remembers the shared parts of a prompt that a runner has read. */
  public void recordCachedParts(String runner, GenerationParameters prompt) {
    OwnLoad load = load(runner);
    StringBuilder chain = new StringBuilder(modelKey(prompt));
    for (PromptPart part : sharedParts(prompt)) {
      chain.append('|').append(part.id());
      load.recordCachedParts.put(chain.toString(), Boolean.TRUE);
    }
  }

  /** Returns how many tokens of a prompt a runner would have to read. */
  public int uncachedTokens(String runner, GenerationParameters prompt) {
    OwnLoad load = own.get(runner);
    int tokens = prompt.promptTokens();
    if (load == null) {
      return tokens;
    }
    StringBuilder chain = new StringBuilder(modelKey(prompt));
    for (PromptPart part : sharedParts(prompt)) {
      chain.append('|').append(part.id());
      if (!load.recordCachedParts.containsKey(chain.toString())) {
        break;
      }
      tokens -= part.tokens();
    }
    return Math.max(0, tokens);
  }

  /** Takes in what a neighbour has at runners. */
  public void updateNeighbour(String neighbour, Map<String, Load> shares, long nowMilliseconds) {
    neighbours.put(neighbour, new NeighbourLoad(Map.copyOf(shares), nowMilliseconds));
  }

  /** Takes in what all others have at runners, in place of what each of them told before. */
  public void replaceNeighbours(String relay, Map<String, Load> shares, long nowMilliseconds) {
    neighbours.clear();
    updateNeighbour(relay, shares, nowMilliseconds);
  }

  /** Returns this instance's own work, for runners that have any. */
  public Map<String, Load> ownLoads() {
    Map<String, Load> shares = new HashMap<>();
    own.forEach(
        (runner, load) -> {
          if (load.running > 0) {
            shares.put(runner, new Load(load.running, load.pendingPrefillTokens));
          }
        });
    return shares;
  }

  /** Returns the work of this instance and of some neighbours, for runners that have any. */
  public Map<String, Load> loadsWith(Collection<String> neighbourIds, long nowMilliseconds) {
    Map<String, Load> shares = ownLoads();
    for (String id : neighbourIds) {
      NeighbourLoad load = neighbours.get(id);
      if (load == null || nowMilliseconds - load.atMilliseconds() > MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS) {
        continue;
      }
      load.shares().forEach((runner, share) -> shares.merge(runner, share, Load::plus));
    }
    return shares;
  }

  /** Returns the work of this instance and of all that told theirs, for runners that have any. */
  public Map<String, Load> allLoads(long nowMilliseconds) {
    return loadsWith(neighbours.keySet(), nowMilliseconds);
  }

  /** Returns the work of this instance and of all others that told theirs, but for one of them. */
  public Map<String, Load> loadsExcept(String neighbourId, long nowMilliseconds) {
    List<String> others =
        neighbours.keySet().stream().filter(id -> !id.equals(neighbourId)).toList();
    return loadsWith(others, nowMilliseconds);
  }

  /** Returns the work at a runner, of this instance and its neighbours. */
  public Load total(String runner, long nowMilliseconds) {
    neighbours
        .values()
        .removeIf(load -> nowMilliseconds - load.atMilliseconds() > MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS);
    OwnLoad mine = own.get(runner);
    int running = mine == null ? 0 : mine.running;
    int unread = mine == null ? 0 : mine.pendingPrefillTokens;
    for (NeighbourLoad load : neighbours.values()) {
      Load share = load.shares().get(runner);
      if (share != null) {
        running += share.running();
        unread += share.pendingPrefillTokens();
      }
    }
    return new Load(running, unread);
  }

  /** Returns how long a runner lately took to read a prompt token. */
  public double millisecondsPerToken(String runner) {
    OwnLoad load = own.get(runner);
    return load == null ? INITIAL_MILLISECONDS_PER_TOKEN : load.millisecondsPerToken;
  }

  /** Returns how long a runner lately took for a plain request. */
  public double millisecondsPerRequest(String runner) {
    OwnLoad load = own.get(runner);
    return load == null ? INITIAL_MILLISECONDS_PER_REQUEST : load.millisecondsPerRequest;
  }

  /** Forgets a runner that is gone, or what it kept in an earlier life. */
  public void clearCachedParts(String runner) {
    OwnLoad load = own.get(runner);
    if (load != null) {
      load.recordCachedParts.clear();
    }
  }

  private static String modelKey(GenerationParameters prompt) {
    return prompt.model() + '/' + prompt.adapter().orElse("");
  }

  private static List<PromptPart> sharedParts(GenerationParameters prompt) {
    List<PromptPart> parts = prompt.parts();
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  private OwnLoad load(String runner) {
    return own.computeIfAbsent(runner, ignored -> new OwnLoad());
  }
}
