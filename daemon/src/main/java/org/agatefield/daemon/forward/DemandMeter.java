package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.forwarding.GenerationParameters;
import org.agatefield.model.ModelDemand;

/** Counts this instance's demand for models between two reports. Confined to one event loop. */
final class DemandMeter {
  private static final int LOWEST_PRIORITY = 9;

  private final Map<Key, Counts> counts = new HashMap<>();

  private record Key(String service, String model) {}

  private static final class Counts {
    private long tokens;
    private long outputTokens;
    private int requests;
    private int waiting;
    private int running;
    private final Map<String, Integer> runningAt = new HashMap<>();
    private int priority = LOWEST_PRIORITY;
  }

  void arrived(String service, GenerationParameters prompt, int priority) {
    Counts each = counts(service, prompt);
    each.tokens += prompt.promptTokens();
    each.outputTokens += prompt.outputTokens();
    each.requests++;
    each.priority = Math.min(each.priority, priority);
  }

  void waiting(String service, GenerationParameters prompt, int change) {
    counts(service, prompt).waiting += change;
  }

  void running(String service, GenerationParameters prompt, String runner, int change) {
    Counts each = counts(service, prompt);
    each.running += change;
    int atRunner = each.runningAt.merge(runner, change, Integer::sum);
    if (atRunner <= 0) {
      each.runningAt.remove(runner);
    }
  }

  /** Returns the demand since the previous call. */
  List<ModelDemand> take() {
    List<ModelDemand> demands = new ArrayList<>();
    counts.forEach(
        (key, each) ->
            demands.add(
                new ModelDemand(
                    key.service(),
                    key.model(),
                    each.tokens,
                    each.requests,
                    each.waiting,
                    each.running,
                    each.priority,
                    each.runningAt,
                    each.outputTokens)));
    counts.values().removeIf(each -> each.waiting == 0 && each.running == 0);
    counts
        .values()
        .forEach(
            each -> {
              each.tokens = 0;
              each.outputTokens = 0;
              each.requests = 0;
              each.priority = LOWEST_PRIORITY;
            });
    return demands;
  }

  private Counts counts(String service, GenerationParameters prompt) {
    return counts.computeIfAbsent(new Key(service, prompt.model()), ignored -> new Counts());
  }
}
