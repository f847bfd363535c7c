package org.agatefield.daemon.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.agatefield.daemon.forward.wire.CallerDialect.CallerLocation;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.Observed;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.routing.DomainLoad;
import org.agatefield.routing.EntrySelection;
import org.agatefield.routing.InstanceLoad;

/**
 * Tells callers which instances to use and the other instances how loaded this one is.
 *
 * <p>Confined to one event loop.
 */
final class EntryDirectory {
  /** Interval at which {@link #publishLoad} must be called. */
  static final long PUBLISH_MILLISECONDS = 960;

  private static final int MAXIMUM_ADDRESSES = 64; // Callers read no more.
  private static final long DELAY_STEP_MILLISECONDS =
      10; // Smaller changes are not worth a message.

  private final Instance self;
  private final double processors;
  private final EventLoopDelay delay;
  private final Supplier<? extends Collection<Instance>> answering;
  private final KnowledgeTable<InstanceLoad> instanceLoads;
  private final KnowledgeTable<DomainLoad> domainLoads;

  /**
   * Creates a directory.
   *
   * @param processors the capacity of this instance in ordinary processors
   * @param answering the instances that callers may be directed to
   */
  EntryDirectory(
      Instance self,
      double processors,
      EventLoopDelay delay,
      Supplier<? extends Collection<Instance>> answering,
      KnowledgeExchange knowledge) {
    this.self = self;
    this.processors = processors;
    this.delay = delay;
    this.answering = answering;
    this.instanceLoads = knowledge.share(InstanceLoad.KIND);
    this.domainLoads = knowledge.share(DomainLoad.KIND);
  }

  /** Tells the other instances the load of this one. */
  void publishLoad(long nowMilliseconds) {
    long steps = Math.round(delay.smoothedMilliseconds() / DELAY_STEP_MILLISECONDS);
    long delayMilliseconds =
        Math.min(InstanceLoad.MAXIMUM_DELAY_MILLISECONDS, steps * DELAY_STEP_MILLISECONDS);
    InstanceLoad load =
        new InstanceLoad(Math.max(1, Math.round(processors * 1_000)), delayMilliseconds);
    instanceLoads.observeChange(self.id(), load, nowMilliseconds);
    domainLoads.observeChange(self.failureDomain().name(), DomainLoad.of(load), nowMilliseconds);
  }

  /**
   * Returns the addresses that a caller should use.
   *
   * @param callerKey identifies the caller; equal keys get similar answers
   */
  List<Address> addressesFor(CallerLocation caller, String callerKey, long nowMilliseconds) {
    EntrySelection.Loads loads =
        new EntrySelection.Loads(
            values(instanceLoads.all(nowMilliseconds)), values(domainLoads.all(nowMilliseconds)));
    return EntrySelection.entriesFor(
            new FailureDomain(caller.region(), caller.failureDomain()),
            callerKey,
            answering.get(),
            loads)
        .stream()
        .map(Instance::callerAddress)
        .limit(MAXIMUM_ADDRESSES)
        .toList();
  }

  private static <V> Map<String, V> values(Map<String, Observed<V>> observed) {
    Map<String, V> values = new HashMap<>();
    observed.forEach((subject, each) -> values.put(subject, each.value()));
    return values;
  }
}
