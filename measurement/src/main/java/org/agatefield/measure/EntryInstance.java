package org.agatefield.measure;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.agatefield.admission.RetryBudget;
import org.agatefield.admission.RetryPolicy;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.ReplicaDirectory;
import org.agatefield.daemon.dispatch.DispatchPolicies;
import org.agatefield.daemon.dispatch.RoutingDispatcher;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.settings.DaemonSettings;

/** An entry instance with the dispatcher of the daemon. Confined to the driver's thread. */
final class EntryInstance implements InstanceDirectory, InvariantMonitor {
  private static final double RETRY_SHARE = 0.2;
  private static final double RETRY_RESERVE = 20;
  private static final DaemonSettings.Limits LIMITS =
      new DaemonSettings.Limits(
          1_000_000,
          8_000,
          2_000,
          16_000_000,
          Duration.ofSeconds(30),
          Duration.ofSeconds(5),
          Duration.ofSeconds(30),
          Duration.ofHours(1),
          Duration.ofMinutes(1));

  final RoutingDispatcher dispatcher;
  final RetryPolicy callerRetries = new RetryBudget(RETRY_SHARE, RETRY_RESERVE);
  boolean unreachable;
  private final Instance self;
  private long violations;

  EntryInstance(
      int number,
      FailureDomain domain,
      ConfigurationSource configuration,
      ReplicaDirectory replicas,
      DispatchPolicies policies,
      LongSupplier clock) {
    Address address = new Address("127.0.0.1", 1_000 + number);
    self = new Instance("entry-" + number, address, address, domain, InstanceState.LIVE);
    dispatcher =
        new RoutingDispatcher(
            configuration, replicas, this, LIMITS, new MetricRegistry(), this, policies, clock);
  }

  String region() {
    return self.failureDomain().region();
  }

  @Override
  public Instance self() {
    return self;
  }

  @Override
  public Collection<Instance> alive() {
    return List.of(self);
  }

  @Override
  public Set<String> leavingUpstreams() {
    return Set.of();
  }

  @Override
  public void check(Invariant promise, boolean holds, Supplier<String> evidence) {
    violations += holds ? 0 : 1;
  }

  @Override
  public long violations() {
    return violations;
  }
}
