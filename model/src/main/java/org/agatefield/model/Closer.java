package org.agatefield.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Closes registered resources in reverse order of their registration.
 *
 * <p>Invariant: each registered resource is closed exactly once; a resource registered after {@link
 * #close()} is closed immediately. Thread-safe.
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
   * Closes every resource, even if some fail to close.
   *
   * @throws IllegalStateException if a resource failed to close; further failures are suppressed
   *     exceptions of it
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
