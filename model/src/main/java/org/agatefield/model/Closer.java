package org.agatefield.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Gathers resources and closes them in the reverse order of their registration.
 *
 * <p>Invariant: each registered resource is closed exactly once; one registered after {@link
 * #close()} is closed at once. Safe for use by several threads.
 */
public final class Closer implements AutoCloseable {
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();
  private boolean closed;

  /**
   * Registers a resource.
   *
   * @return the same resource
   */
  public <T extends AutoCloseable> T register(T resource) {
    synchronized (this) {
      if (!closed) {
        resources.push(resource);
        return resource;
      }
    }
    closeAll(new ArrayDeque<>(List.of(resource)));
    return resource;
  }

  /**
   * Closes every resource, also when some fail.
   *
   * @throws IllegalStateException if a resource failed to close; later ones are suppressed in it
   */
  @Override
  public void close() {
    Deque<AutoCloseable> remaining;
    synchronized (this) {
      closed = true;
      remaining = new ArrayDeque<>(resources);
      resources.clear();
    }
    closeAll(remaining);
  }

  private static void closeAll(Deque<AutoCloseable> remaining) {
    IllegalStateException failure = null;
    while (!remaining.isEmpty()) {
      try {
        remaining.pop().close();
      } catch (Exception exception) {
        if (failure == null) {
          failure = new IllegalStateException("a resource failed to close", exception);
        } else {
          failure.addSuppressed(exception);
        }
      }
    }
    if (failure != null) {
      throw failure;
    }
  }
}
