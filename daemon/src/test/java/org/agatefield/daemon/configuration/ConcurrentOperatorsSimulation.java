package org.agatefield.daemon.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.agatefield.daemon.core.ConfigurationSink;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.RunState;
import org.agatefield.model.WeightStoreLimits;
import org.agatefield.store.StoredObject;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates operators who concurrently submit documents at several instances. The order of store
 * calls and peer messages is determined by a seed. Not thread-safe.
 */
final class ConcurrentOperatorsSimulation {
  private static final int INSTANCES = 3;
  private static final int STEPS = 400;

  private final UniformRandomProvider random;
  private final RandomOrderStore store;
  private final ConfigurationHistory history;
  private final List<ActiveConfiguration> instances = new ArrayList<>();
  private final List<List<ConfigurationDocument>> adopted = new ArrayList<>();
  private final Map<ConfigurationDocument, String> results = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final boolean adoptAnyGeneration;
  private int documents;

  /**
   * Creates a simulation.
   *
   * @param adoptAnyGeneration whether instances adopt every document they receive, even one of an
   *     earlier generation
   */
  ConcurrentOperatorsSimulation(
      long seed, Set<RandomOrderStore.Mechanism> disabled, boolean adoptAnyGeneration) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.store = new RandomOrderStore(random, disabled);
    this.history = new ConfigurationHistory(store);
    this.adoptAnyGeneration = adoptAnyGeneration;
    for (int i = 0; i < INSTANCES; i++) {
      ActiveConfiguration instance = new ActiveConfiguration(new Monitor());
      List<ConfigurationDocument> received = new ArrayList<>();
      instance.subscribe(received::add);
      instances.add(instance);
      adopted.add(received);
    }
  }

  /** Runs the simulation and returns all violations. */
  List<String> run() {
    for (int i = 0; i < STEPS; i++) {
      act(random.nextInt(10));
    }
    while (store.runNext()) {
      continue;
    }
    checkAdopted();
    checkResults();
    checkSuccession();
    return violations;
  }

  /** Returns the number of accepted documents. */
  int accepted() {
    return acceptedDocuments().size();
  }

  private void act(int choice) {
    int instance = random.nextInt(INSTANCES);
    if (choice == 0) {
      apply(instance);
    } else if (choice == 1) {
      receiveFromStore(instance);
    } else if (choice == 2) {
      List<ConfigurationDocument> peer = adopted.get(random.nextInt(INSTANCES));
      offer(instance, peer.get(random.nextInt(peer.size())));
    } else {
      store.runNext();
    }
  }

  /** Submits a change to an instance's active document, which may be outdated. */
  private void apply(int instance) {
    documents++;
    ConfigurationDocument base = instances.get(instance).current();
    ConfigurationDocument document =
        new ConfigurationDocument(
            base.generation(),
            base.deployments(),
            base.adapters(),
            base.callers(),
            base.services(),
            base.upstreams(),
            new WeightStoreLimits(documents, 1, 1));
    new ConfigurationUpdate(store, history, document, store)
        .run()
        .whenComplete((accepted, failure) -> completed(instance, document, accepted, failure));
  }

  private void completed(
      int instance,
      ConfigurationDocument document,
      ConfigurationDocument accepted,
      Throwable failure) {
    if (failure == null) {
      results.put(document, "accepted");
      offer(instance, accepted);
      return;
    }
    RunState state = AgatefieldException.from(failure).runState();
    results.put(document, state == RunState.NO ? "refused" : "unknown");
  }

  /** Delivers a random version of the object, as a lagging watch or list might. */
  private void receiveFromStore(int instance) {
    List<StoredObject> versions = store.versionsOf(ConfigurationUpdate.CURRENT);
    if (!versions.isEmpty()) {
      StoredObject version = versions.get(random.nextInt(versions.size()));
      offer(instance, ConfigurationCodec.decode(version));
    }
  }

  private void offer(int instance, ConfigurationDocument document) {
    if (adoptAnyGeneration) {
      adopted.get(instance).add(document);
      return;
    }
    ConfigurationSink sink = instances.get(instance);
    sink.offer(document);
  }

  private List<ConfigurationDocument> acceptedDocuments() {
    return store.versionsOf(ConfigurationUpdate.CURRENT).stream()
        .map(ConfigurationCodec::decode)
        .toList();
  }

  private void checkAdopted() {
    for (List<ConfigurationDocument> received : adopted) {
      long generation = -1;
      for (ConfigurationDocument document : received) {
        if (document.generation() <= generation) {
          violations.add("generation " + document.generation() + " after " + generation);
        }
        generation = document.generation();
      }
    }
  }

  private void checkResults() {
    List<ConfigurationDocument> accepted = acceptedDocuments();
    results.forEach(
        (document, result) -> {
          boolean wasAccepted =
              accepted.contains(document.withGeneration(document.generation() + 1));
          boolean correct = result.equals("unknown") || wasAccepted == result.equals("accepted");
          if (!correct) {
            violations.add(result + " but " + wasAccepted + ": " + document);
          }
        });
  }

  /** Checks that each accepted document replaced the one that it is based on. */
  private void checkSuccession() {
    long generation = 0;
    for (ConfigurationDocument document : acceptedDocuments()) {
      if (document.generation() != generation + 1) {
        violations.add("generation " + document.generation() + " replaced " + generation);
      }
      generation = document.generation();
    }
  }

  /** Collects the violations reported by the instances themselves. */
  private final class Monitor implements InvariantMonitor {
    @Override
    public void check(Invariant promise, boolean holds, Supplier<String> evidence) {
      if (!holds) {
        violations.add(evidence.get());
      }
    }

    @Override
    public long violations() {
      return violations.size();
    }
  }
}
