package org.agatefield.fleet.calls;

import static org.agatefield.fleet.calls.CallsBench.exchange;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.agatefield.daemon.calls.OutcomeQuery;
import org.agatefield.daemon.calls.StoreBackedCallExecutor;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.PlainService;
import org.agatefield.model.RunState;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that calls run at most once while partners retry without pause at several instances and
 * the store and the service fail in a seeded order. Interleavings differ from run to run; the
 * assertions hold for all of them.
 */
class CallsUnderFaultsTest {
  private static final int PARTNERS = 6;
  private static final int KEYS_PER_PARTNER = 20;
  private static final int MAX_ATTEMPTS = 100_000;
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(200);
  private static final Duration REMAINING = Duration.ofSeconds(2);
  private static final long SEED = 42;
  private static final List<String> STORE_FAULTS =
      List.of(
          "{}",
          "{}",
          "{}",
          "{\"loseAnswersShare\":0.5,\"seed\":42}",
          "{\"delayEffectMilliseconds\":400,\"delayEffectCount\":3,\"verb\":\"create\"}",
          "{\"delayEffectMilliseconds\":300,\"delayEffectCount\":3}",
          "{\"slowMilliseconds\":150}",
          "{\"hang\":true}",
          "{\"down\":true}");

  private final CallsBench bench = new CallsBench(STORE_TIMEOUT);
  private final List<StoreBackedCallExecutor> instances = new ArrayList<>();
  private final Map<String, Set<ServiceResponse>> answers = new ConcurrentHashMap<>();
  private final List<String> falseRefusals = new CopyOnWriteArrayList<>();

  @AfterEach
  void close() {
    bench.close();
  }

  @Test
  void retriesUnderFaultsRunEachCallAtMostOnce() throws Exception {
    for (int index = 0; index < 4; index++) {
      instances.add(bench.newInstance("instance-" + index, FailPointHook.NONE, OutcomeQuery.NONE));
    }
    ExecutorService partners = Executors.newFixedThreadPool(PARTNERS);
    List<Future<?>> running = new ArrayList<>();
    for (int partner = 0; partner < PARTNERS; partner++) {
      UniformRandomProvider random = random(partner);
      String name = "partner-" + partner;
      running.add(partners.submit(() -> bookAll(name, random)));
    }
    changeFaultsWhile(running);
    partners.shutdown();
    bench.storeFaults("{}");
    Map<String, Integer> repeated = new ConcurrentHashMap<>(bench.executions);
    repeated.values().removeIf(count -> count == 1);
    assertEquals(Map.of(), repeated);
    assertEquals(List.of(), bench.violations);
    assertEquals(List.of(), falseRefusals);
    answers.forEach((key, distinctAnswers) -> assertEquals(1, distinctAnswers.size(), key));
    int keys = PARTNERS * KEYS_PER_PARTNER;
    System.out.println(
        "keys=" + keys + " executed=" + bench.executions.size() + " answered=" + answers.size());
    assertTrue(answers.size() > keys / 10);
  }

  private static UniformRandomProvider random(int stream) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(SEED + stream);
  }

  private void changeFaultsWhile(List<Future<?>> running) throws Exception {
    UniformRandomProvider random = random(PARTNERS);
    for (Future<?> partner : running) {
      while (!partner.isDone()) {
        bench.storeFaults(STORE_FAULTS.get(random.nextInt(STORE_FAULTS.size())));
        TimeUnit.MILLISECONDS.sleep(100 + random.nextInt(300));
      }
      partner.get();
    }
  }

  private void bookAll(String partner, UniformRandomProvider random) {
    for (int number = 0; number < KEYS_PER_PARTNER; number++) {
      String key = partner + "-" + number;
      boolean completed = false;
      for (int attempt = 0; attempt < MAX_ATTEMPTS && !completed; attempt++) {
        completed = bookConcurrently(key, 1 + random.nextInt(3), random);
      }
    }
  }

  /** Sends concurrent copies of a call to instances; returns whether one got a final outcome. */
  private boolean bookConcurrently(String key, int copies, UniformRandomProvider random) {
    boolean executedBefore = bench.executions.containsKey(key);
    List<CompletableFuture<ServiceResponse>> calls = new ArrayList<>();
    for (int copy = 0; copy < copies; copy++) {
      calls.add(send(key, random));
    }
    boolean completed = false;
    for (CompletableFuture<ServiceResponse> call : calls) {
      completed |= isFinal(key, call, executedBefore);
    }
    return completed;
  }

  private CompletableFuture<ServiceResponse> send(String key, UniformRandomProvider random) {
    StoreBackedCallExecutor instance = instances.get(random.nextInt(instances.size()));
    int serviceFault = random.nextInt(10);
    return bench.call(
        instance,
        new PlainService("booking", List.of(), Optional.empty(), 1_000),
        key,
        "body",
        REMAINING,
        new CallsBench.FreeDispatcher(2),
        upstream -> execute(key, serviceFault));
  }

  private CompletableFuture<ServiceResponse> execute(String key, int serviceFault) {
    if (serviceFault == 0) {
      return CompletableFuture.failedFuture(
          new AgatefieldException(ErrorKind.NO_UPSTREAM, "connection refused"));
    }
    int execution = bench.executions.merge(key, 1, Integer::sum);
    ServiceResponse answer = exchange(key + " execution " + execution);
    if (serviceFault == 1) {
      return CompletableFuture.failedFuture(
          new AgatefieldException(ErrorKind.UPSTREAM_FAILED, "connection reset"));
    }
    long delayMilliseconds = serviceFault == 2 ? 3_000 : serviceFault * 10L;
    return CompletableFuture.supplyAsync(
        () -> answer, CompletableFuture.delayedExecutor(delayMilliseconds, TimeUnit.MILLISECONDS));
  }

  private boolean isFinal(
      String key, CompletableFuture<ServiceResponse> call, boolean executedBefore) {
    try {
      ServiceResponse answer = call.join();
      answers.computeIfAbsent(key, created -> ConcurrentHashMap.newKeySet()).add(answer);
      return true;
    } catch (CompletionException exception) {
      AgatefieldException failure = AgatefieldException.from(exception);
      if (executedBefore && failure.runState() == RunState.NO) {
        falseRefusals.add(key + " " + failure.getMessage());
      }
      return failure.kind() == ErrorKind.OUTCOME_UNKNOWN;
    }
  }
}
