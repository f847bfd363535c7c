package org.agatefield.store;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.InstanceState;

/** The platform's lagging list of live and leaving instances. Safe for use by any thread. */
public interface InstanceList {
  /** Returns what is known now; {@link Snapshot#EMPTY} before anything was learnt. */
  Snapshot current();

  /** Calls {@code listener} with each later state, one at a time. */
  void subscribe(Consumer<Snapshot> listener);

  /**
   * The list at one moment. Immutable.
   *
   * @param entries the entry instances, in the order of their names
   * @param liveUpstreams names of the upstreams that take new work
   * @param leavingUpstreams names of the upstreams that leave and get no new work
   */
  record Snapshot(
      List<EntryInstance> entries, Set<String> liveUpstreams, Set<String> leavingUpstreams) {
    /** Nothing known. */
    public static final Snapshot EMPTY = new Snapshot(List.of(), Set.of(), Set.of());

    /** Copies the collections. */
    public Snapshot {
      entries = List.copyOf(entries);
      liveUpstreams = Set.copyOf(liveUpstreams);
      leavingUpstreams = Set.copyOf(leavingUpstreams);
    }
  }

  /**
   * An entry instance in the list. Immutable.
   *
   * @param name the name in the list
   * @param callerAddress where callers connect
   * @param peerAddress where other instances connect
   * @param failureDomain where it lies
   * @param state whether it is leaving
   */
  record EntryInstance(
      String name,
      Address callerAddress,
      Address peerAddress,
      FailureDomain failureDomain,
      InstanceState state) {}
}
