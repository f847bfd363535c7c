package org.agatefield.forwarding;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.forwarding.GenerationParameters.PromptPart;

/**
 * Tracks the load of each runner: the requests of this instance and the loads that neighbouring
 * instances report.
 *
 * <p>Invariant: the counts of this instance return to zero when every attempt has ended. Reports of
 * a neighbour are dropped once they are older than {@link #MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS}. Not
 * thread safe.
 */
public final class RunnerLoads {
  /** How long the report of a neighbour counts; it is repeated several times within this time. */
  public static final long MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS = 1_000;

  private static final double SMOOTHING = 0.15;
  // An H100 prefills about 19 tokens per millisecond for a model with 32 billion parameters.
  private static final double INITIAL_PREFILL_MILLISECONDS_PER_TOKEN = 0.06;
  // Five times the usual value.
  private static final double MAXIMUM_PREFILL_MILLISECONDS_PER_TOKEN = 0.3;
  // Shorter prompts say little about the rate.
  private static final double MINIMUM_MEASURED_TOKENS = 500;
  // The decoding step that follows the last prefill chunk.
  private static final double FIRST_DECODE_STEP_MILLISECONDS = 90;
  private static final double INITIAL_MILLISECONDS_PER_REQUEST = 80;
  private static final int CACHED_PARTS_PER_RUNNER = 512;

  private final Map<String, OwnLoad> own = new HashMap<>();
  private final Map<String, NeighbourLoad> neighbourLoads = new HashMap<>();

  private static final class OwnLoad {
    private int running;
    private int pendingPrefillTokens;
    private double millisecondsPerToken = INITIAL_PREFILL_MILLISECONDS_PER_TOKEN;
    private double millisecondsPerRequest = INITIAL_MILLISECONDS_PER_REQUEST;
    private final Map<String, Boolean> cachedParts =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > CACHED_PARTS_PER_RUNNER;
          }
        };
  }

  /**
   * The load of one runner. Immutable.
   *
   * @param running running requests
   * @param pendingPrefillTokens prompt tokens of requests whose answers have not started
   */
  public record Load(int running, int pendingPrefillTokens) {
    Load plus(Load other) {
      return new Load(running + other.running, pendingPrefillTokens + other.pendingPrefillTokens);
    }
  }

  private record NeighbourLoad(Map<String, Load> loads, long atMilliseconds) {}

  /** Records that a request was sent. */
  public void sent(String runner, int uncachedPromptTokens) {
    OwnLoad load = load(runner);
    load.running++;
    load.pendingPrefillTokens += uncachedPromptTokens;
  }

  /** Records that the runner started to answer, or that the attempt ended before it did. */
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
   * Updates the prefill rate of a runner.
   *
   * @param tokensAhead tokens that were pending prefill, including those of the request itself
   */
  public void recordPrefillTime(String runner, double tokensAhead, double milliseconds) {
    OwnLoad load = load(runner);
    double prefill = Math.max(0, milliseconds - FIRST_DECODE_STEP_MILLISECONDS);
    double sample =
        Math.min(
            MAXIMUM_PREFILL_MILLISECONDS_PER_TOKEN,
            prefill / Math.max(MINIMUM_MEASURED_TOKENS, tokensAhead));
    load.millisecondsPerToken += SMOOTHING * (sample - load.millisecondsPerToken);
  }

  /** Updates the service time of plain requests on a runner. */
  public void recordRequestTime(String runner, double milliseconds) {
    OwnLoad load = load(runner);
    load.millisecondsPerRequest += SMOOTHING * (milliseconds - load.millisecondsPerRequest);
  }

  /** Records that a runner has cached the shared parts of a prompt. */
  public void recordCachedParts(String runner, GenerationParameters prompt) {
    OwnLoad load = load(runner);
    StringBuilder prefixKey = new StringBuilder(modelKey(prompt));
    for (PromptPart part : prefixParts(prompt)) {
      prefixKey.append('|').append(part.id());
      load.cachedParts.put(prefixKey.toString(), Boolean.TRUE);
    }
  }

  /** Returns how many tokens of a prompt a runner would have to prefill. */
  public int uncachedTokens(String runner, GenerationParameters prompt) {
    OwnLoad load = own.get(runner);
    int tokens = prompt.promptTokens();
    if (load == null) {
      return tokens;
    }
    StringBuilder prefixKey = new StringBuilder(modelKey(prompt));
    for (PromptPart part : prefixParts(prompt)) {
      prefixKey.append('|').append(part.id());
      if (!load.cachedParts.containsKey(prefixKey.toString())) {
        break;
      }
      tokens -= part.tokens();
    }
    return Math.max(0, tokens);
  }

  /** Replaces the reported load of a neighbour's requests. */
  public void updateNeighbour(String neighbour, Map<String, Load> loads, long nowMilliseconds) {
    neighbourLoads.put(neighbour, new NeighbourLoad(Map.copyOf(loads), nowMilliseconds));
  }

  /** Replaces the reports of all neighbours with one combined report from {@code relay}. */
  public void replaceNeighbours(String relay, Map<String, Load> loads, long nowMilliseconds) {
    neighbourLoads.clear();
    updateNeighbour(relay, loads, nowMilliseconds);
  }

  /** Returns the load of this instance's requests, for runners that have any. */
  public Map<String, Load> ownLoads() {
    Map<String, Load> loads = new HashMap<>();
    own.forEach(
        (runner, load) -> {
          if (load.running > 0) {
            loads.put(runner, new Load(load.running, load.pendingPrefillTokens));
          }
        });
    return loads;
  }

  /**
   * Returns the combined load of this instance and the given neighbours, for runners that have any.
   */
  public Map<String, Load> loadsWith(Collection<String> neighbourIds, long nowMilliseconds) {
    Map<String, Load> loads = ownLoads();
    for (String id : neighbourIds) {
      NeighbourLoad load = neighbourLoads.get(id);
      if (load == null
          || nowMilliseconds - load.atMilliseconds() > MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS) {
        continue;
      }
      load.loads().forEach((runner, runnerLoad) -> loads.merge(runner, runnerLoad, Load::plus));
    }
    return loads;
  }

  /**
   * Returns the combined load of this instance and all neighbours with a recent report, for runners
   * that have any.
   */
  public Map<String, Load> allLoads(long nowMilliseconds) {
    return loadsWith(neighbourLoads.keySet(), nowMilliseconds);
  }

  /**
   * Returns the combined load of this instance and all neighbours with a recent report except one.
   */
  public Map<String, Load> loadsExcept(String neighbourId, long nowMilliseconds) {
    List<String> others =
        neighbourLoads.keySet().stream().filter(id -> !id.equals(neighbourId)).toList();
    return loadsWith(others, nowMilliseconds);
  }

  /** Returns the combined load of this instance and its neighbours on a runner. */
  public Load total(String runner, long nowMilliseconds) {
    neighbourLoads
        .values()
        .removeIf(
            load -> nowMilliseconds - load.atMilliseconds() > MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS);
    OwnLoad ownLoad = own.get(runner);
    int running = ownLoad == null ? 0 : ownLoad.running;
    int pending = ownLoad == null ? 0 : ownLoad.pendingPrefillTokens;
    for (NeighbourLoad load : neighbourLoads.values()) {
      Load runnerLoad = load.loads().get(runner);
      if (runnerLoad != null) {
        running += runnerLoad.running();
        pending += runnerLoad.pendingPrefillTokens();
      }
    }
    return new Load(running, pending);
  }

  /** Returns the recent prefill time per prompt token of a runner. */
  public double millisecondsPerToken(String runner) {
    OwnLoad load = own.get(runner);
    return load == null ? INITIAL_PREFILL_MILLISECONDS_PER_TOKEN : load.millisecondsPerToken;
  }

  /** Returns the recent service time of plain requests on a runner. */
  public double millisecondsPerRequest(String runner) {
    OwnLoad load = own.get(runner);
    return load == null ? INITIAL_MILLISECONDS_PER_REQUEST : load.millisecondsPerRequest;
  }

  /** Clears the cached parts of a runner that restarted or left. */
  public void clearCachedParts(String runner) {
    OwnLoad load = own.get(runner);
    if (load != null) {
      load.cachedParts.clear();
    }
  }

  private static String modelKey(GenerationParameters prompt) {
    return prompt.model() + '/' + prompt.adapter().orElse("");
  }

  private static List<PromptPart> prefixParts(GenerationParameters prompt) {
    List<PromptPart> parts = prompt.parts();
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  private OwnLoad load(String runner) {
    return own.computeIfAbsent(runner, ignored -> new OwnLoad());
  }
}
