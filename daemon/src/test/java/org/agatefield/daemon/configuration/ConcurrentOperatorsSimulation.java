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
 * Simulates concurrent operators at several instances; a seed determines the order of events at the
 * store and between peers. For use by one thread.
 */
final class ConcurrentOperatorsSimulation {
  private static final int INSTANCES = 3;
  private static final int STEPS = 400;

  private final UniformRandomProvider random;
  private final RandomOrderStore store;
  private final ConfigurationHistory history;
  private final List<ActiveConfiguration> instances = new ArrayList<>();
  private final List<List<ConfigurationDocument>> adopted = new ArrayList<>();
  private final Map<ConfigurationDocument, String> answers = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final boolean adoptAnything;
  private int documents;

  /**
   * Creates a simulation.
   *
   * @param adoptAnything whether instances adopt every document they receive, even an older one
   */
  ConcurrentOperatorsSimulation(
      long seed, Set<RandomOrderStore.Mechanism> disabled, boolean adoptAnything) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.store = new RandomOrderStore(random, disabled);
    this.history = new ConfigurationHistory(store);
    this.adoptAnything = adoptAnything;
    for (int i = 0; i < INSTANCES; i++) {
      ActiveConfiguration instance = new ActiveConfiguration(new Monitor());
      List<ConfigurationDocument> received = new ArrayList<>();
      instance.subscribe(received::add);
      instances.add(instance);
      adopted.add(received);
    }
  }

  /** Runs the simulation and returns every violation. */
  List<String> run() {
    for (int i = 0; i < STEPS; i++) {
      performStep(random.nextInt(10));
    }
    while (store.runOne()) {
      continue;
    }
    checkAdopted();
    checkAnswers();
    checkSuccession();
    return violations;
  }

  /** Returns how many documents were accepted. */
  int accepted() {
    return acceptedDocuments().size();
  }

  private void performStep(int choice) {
    int instance = random.nextInt(INSTANCES);
    if (choice == 0) {
      apply(instance);
    } else if (choice == 1) {
      offerFromStore(instance);
    } else if (choice == 2) {
      List<ConfigurationDocument> peer = adopted.get(random.nextInt(INSTANCES));
      offer(instance, peer.get(random.nextInt(peer.size())));
    } else {
      store.runOne();
    }
  }

  /** An operator changes the document in force at an instance, which may be far out of date. */
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
        .whenComplete((accepted, failure) -> answered(instance, document, accepted, failure));
  }

  private void answered(
      int instance,
      ConfigurationDocument document,
      ConfigurationDocument accepted,
      Throwable failure) {
    if (failure == null) {
      answers.put(document, "accepted");
      offer(instance, accepted);
      return;
    }
    RunState state = AgatefieldException.from(failure).runState();
    answers.put(document, state == RunState.NO ? "refused" : "unknown");
  }

  /** Offers any past or present version of the object, as a delayed watch or list would. */
  private void offerFromStore(int instance) {
    List<StoredObject> versions = store.versionsOf(ConfigurationUpdate.CURRENT);
    if (!versions.isEmpty()) {
      StoredObject version = versions.get(random.nextInt(versions.size()));
      offer(instance, ConfigurationCodec.decode(version));
    }
  }

  private void offer(int instance, ConfigurationDocument document) {
    if (adoptAnything) {
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

  private void checkAnswers() {
    List<ConfigurationDocument> accepted = acceptedDocuments();
    answers.forEach(
        (document, answer) -> {
          boolean isAccepted =
              accepted.contains(document.withGeneration(document.generation() + 1));
          boolean truthful = answer.equals("unknown") || isAccepted == answer.equals("accepted");
          if (!truthful) {
            violations.add(answer + " but " + isAccepted + ": " + document);
          }
        });
  }

  /** Checks that each accepted document replaced the one that it was written against. */
  private void checkSuccession() {
    long generation = 0;
    for (ConfigurationDocument document : acceptedDocuments()) {
      if (document.generation() != generation + 1) {
        violations.add("generation " + document.generation() + " replaced " + generation);
      }
      generation = document.generation();
    }
  }

  /** Records the violations that the instances report. */
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
