package org.agatefield.store;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.InstanceState;

/** Provides the platform's list of live and leaving instances, which may lag. Thread-safe. */
public interface InstanceList {
  /** Returns the latest list; {@link Snapshot#EMPTY} before the first one was received. */
  Snapshot current();

  /** Calls {@code listener} with each later list, one call at a time. */
  void subscribe(Consumer<Snapshot> listener);

  /**
   * The list at one point in time. Immutable.
   *
   * @param entries the entry instances, in the order of their names
   * @param liveUpstreams names of the upstreams that accept new requests
   * @param leavingUpstreams names of the upstreams that are leaving and receive no new requests
   */
  record Snapshot(
      List<EntryInstance> entries, Set<String> liveUpstreams, Set<String> leavingUpstreams) {
    /** The empty list. */
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
   * @param callerAddress the address that callers connect to
   * @param peerAddress the address that other instances connect to
   * @param failureDomain the instance's failure domain
   * @param state whether the instance is leaving
   */
  record EntryInstance(
      String name,
      Address callerAddress,
      Address peerAddress,
      FailureDomain failureDomain,
      InstanceState state) {}
}
