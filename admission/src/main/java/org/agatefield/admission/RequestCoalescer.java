package org.agatefield.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Coalesces repeatable requests: a retry joins the identical request that is already in flight.
 *
 * <p>Invariant: at most one request per key, the leader, is in flight; the others are its
 * followers. Thread safe.
 *
 * @param <T> the type that represents a request in the embedding program
 */
public final class RequestCoalescer<T> {
  private final Map<Key, Entry<T>> entries = new HashMap<>();

  /**
   * Identifies identical requests. Immutable.
   *
   * @param caller the caller's name; requests of different callers are never coalesced
   * @param bodyHash a cryptographic hash of method, path and body
   */
  public record Key(String caller, String bodyHash) {}

  private static final class Entry<T> {
    private final T leader;
    private final List<T> followers = new ArrayList<>();

    private Entry(T leader) {
      this.leader = leader;
    }
  }

  /**
   * Returns the request in flight that {@code request} joins; empty if {@code request} becomes the
   * one in flight.
   */
  public synchronized Optional<T> join(Key key, T request) {
    Entry<T> entry = entries.get(key);
    if (entry == null) {
      entries.put(key, new Entry<>(request));
      return Optional.empty();
    }
    entry.followers.add(request);
    return Optional.of(entry.leader);
  }

  /** Removes a follower whose caller disconnected. */
  public synchronized void leave(Key key, T follower) {
    Entry<T> entry = entries.get(key);
    if (entry != null) {
      entry.followers.remove(follower);
    }
  }

  /** Ends the request in flight and returns its followers. */
  public synchronized List<T> finish(Key key) {
    Entry<T> entry = entries.remove(key);
    return entry == null ? List.of() : List.copyOf(entry.followers);
  }

  /** Returns the number of requests in flight. */
  public synchronized int size() {
    return entries.size();
  }
}
