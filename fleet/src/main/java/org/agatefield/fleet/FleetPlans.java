package org.agatefield.fleet;

import java.util.ArrayList;
import java.util.List;
import org.agatefield.fleet.FleetPlan.Engine;
import org.agatefield.fleet.FleetPlan.Entry;
import org.agatefield.fleet.FleetPlan.Model;
import org.agatefield.fleet.FleetPlan.Service;
import org.agatefield.fleet.FleetPlan.Weights;
import org.agatefield.model.FailureDomain;

/** Provides the fleet plans that the tools and tests start. Stateless. */
public final class FleetPlans {
  private static final long ENGINE_MEGABYTES = 80_000;
  private static final long MODEL_MEGABYTES = 16_000;
  private static final int TOTAL_ADAPTERS = 60;

  private FleetPlans() {}

  /**
   * Returns the quickstart fleet: three daemons, two engines in two failure domains, one service.
   */
  public static FleetPlan quickstart() {
    FailureDomain first = new FailureDomain("kochi", "kochi-a");
    FailureDomain second = new FailureDomain("kochi", "kochi-b");
    return new FleetPlan(
        List.of(
            new Entry("entry-1", first), new Entry("entry-2", second), new Entry("entry-3", first)),
        List.of(
            new Engine("engine-1", first, ENGINE_MEGABYTES, true),
            new Engine("engine-2", second, ENGINE_MEGABYTES, false)),
        List.of(new Service("booking-1", "booking", first)),
        List.of(
            new Model("summaries", MODEL_MEGABYTES, 1, List.of("summaries-monsoon")),
            new Model("quotes", MODEL_MEGABYTES, 1, List.of("quotes-schools"))),
        new Weights(1.5, 6, 50));
  }

  /** Returns one daemon in front of one engine, to measure the latency that the daemon adds. */
  public static FleetPlan latency() {
    FailureDomain domain = new FailureDomain("kochi", "kochi-a");
    return new FleetPlan(
        List.of(new Entry("entry-1", domain)),
        List.of(new Engine("engine-1", domain, ENGINE_MEGABYTES, true, 1, 256)),
        List.of(),
        List.of(new Model("summaries", MODEL_MEGABYTES, 1, List.of())),
        new Weights(1.5, 6, 50));
  }

  /** Returns the fleet of the cooperative at the size given in its requirements. */
  public static FleetPlan cooperative() {
    List<FailureDomain> domains =
        List.of(
            new FailureDomain("kochi", "kochi-a"),
            new FailureDomain("kochi", "kochi-b"),
            new FailureDomain("kozhikode", "kozhikode-a"));
    return plan(domains, 8, 3, "booking", 20, new Weights(1.5, 6, 50));
  }

  /** Returns the fleet of the consortium at the size given in its requirements. */
  public static FleetPlan consortium() {
    List<FailureDomain> domains =
        List.of(
            new FailureDomain("west-midlands", "west-a"),
            new FailureDomain("west-midlands", "west-b"),
            new FailureDomain("east-midlands", "east-a"));
    return plan(domains, 6, 3, "orders", 13, new Weights(1, 3, 25));
  }

  private static FleetPlan plan(
      List<FailureDomain> domains,
      int engineCount,
      int serviceRunners,
      String service,
      int modelCount,
      Weights weights) {
    List<Entry> entries = new ArrayList<>();
    for (int number = 0; number < 8; number++) {
      entries.add(new Entry("entry-" + (number + 1), domains.get(number % domains.size())));
    }
    List<Engine> engines = new ArrayList<>();
    for (int number = 0; number < engineCount; number++) {
      engines.add(
          new Engine(
              "engine-" + (number + 1),
              domains.get(number % domains.size()),
              ENGINE_MEGABYTES,
              number % 2 == 0));
    }
    List<Service> services = new ArrayList<>();
    for (int number = 0; number < serviceRunners; number++) {
      services.add(
          new Service(service + "-" + (number + 1), service, domains.get(number % domains.size())));
    }
    return new FleetPlan(entries, engines, services, models(modelCount), weights);
  }

  private static List<Model> models(int count) {
    List<Model> models = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      String name = "model-" + (number + 1);
      List<String> adapters = new ArrayList<>();
      for (int adapter = number; adapter < TOTAL_ADAPTERS; adapter += count) {
        adapters.add(name + "-adapter-" + (adapters.size() + 1));
      }
      models.add(new Model(name, MODEL_MEGABYTES, 1, adapters));
    }
    return models;
  }
}
