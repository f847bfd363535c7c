package org.agatefield.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Joins retries of a repeatable request to the one that is in flight.
 *
 * <p>Invariant: at most one request for each key is in flight; each other one names it. Safe for
 * use by any thread.
 *
 * @param <T> what the embedding program keeps of each request
 */
public final class RequestCoalescer<T> {
  private final Map<Key, Entry<T>> entries = new HashMap<>();

  /**
   * What makes two requests the same. Immutable.
   *
   * @param caller the caller's name; requests of different callers are never joined
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

  /** Returns the request in flight that {@code request} joins; empty if it is now the one. */
  public synchronized Optional<T> join(Key key, T request) {
    Entry<T> entry = entries.get(key);
    if (entry == null) {
      entries.put(key, new Entry<>(request));
      return Optional.empty();
    }
    entry.followers.add(request);
    return Optional.of(entry.leader);
  }

  /** Removes a request that joined and whose caller has gone. */
  public synchronized void leave(Key key, T follower) {
    Entry<T> entry = entries.get(key);
    if (entry != null) {
      entry.followers.remove(follower);
    }
  }

  /** Ends the request in flight and returns those that joined it. */
  public synchronized List<T> finish(Key key) {
    Entry<T> entry = entries.remove(key);
    return entry == null ? List.of() : List.copyOf(entry.followers);
  }

  /** Returns the number of requests in flight. */
  public synchronized int size() {
    return entries.size();
  }
}
