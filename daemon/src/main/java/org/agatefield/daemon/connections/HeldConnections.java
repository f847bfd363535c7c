package org.agatefield.daemon.connections;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.agatefield.forwarding.IngressLimits;

/**
 * Counts what all connections hold and decides which have to go.
 *
 * <p>Answers load from clients that send more than the process can hold or never finish what they
 * begin. Invariants: the connections hold at most their bounds once those that a method returns
 * have gone; of the unfinished ones, those go first that hold most for longest without a finished
 * request; a connection on which a whole request waits never goes. What a returned connection holds
 * counts as being released until it is removed; meanwhile nothing should be read. Without input,
 * output and clock. Thread-safe.
 */
public final class HeldConnections {
  /** What an open connection holds that sends nothing. */
  static final int CONNECTION_BYTES = 4_096;

  /** What a small request may hold, for which room is kept from larger ones. */
  static final int SMALL_BYTES = 65_536;

  private static final long SWEEP_MILLISECONDS = 1_000;
  // Room is made for several connections at once, as each decision sorts all of them.
  private static final int SPARE_CONNECTIONS_DIVISOR = 16;
  private static final int SPARE_BYTES_DIVISOR = 4;
  // Connections keep this part of the bound, whatever is held beside them.
  private static final int OWN_BYTES_DIVISOR = 4;
  private static final int SMALL_REQUESTS_DIVISOR = 8;
  private static final int RELEASING_DIVISOR = 4;

  private final ConnectionBounds bounds;
  private final LongSupplier otherBytes;
  private final Set<HeldConnection> open = new HashSet<>();
  private final Set<HeldConnection> leaving = new HashSet<>();
  private final Map<GiveUpReason, Long> givenUp = new EnumMap<>(GiveUpReason.class);
  private long bytes;
  private long leavingBytes;
  private long sweptAt = Long.MIN_VALUE / 2;

  /** A connection that has to go. Immutable. */
  public record GivenUp(HeldConnection connection, GiveUpReason reason) {}

  /**
   * Creates an empty count.
   *
   * @param otherBytes the memory that is held beside connections and shares their bound
   */
  public HeldConnections(ConnectionBounds bounds, LongSupplier otherBytes) {
    this.bounds = bounds;
    this.otherBytes = otherBytes;
  }

  /** Adds a connection; returns those that have to go for it, or itself if none can. */
  public synchronized List<GivenUp> add(HeldConnection added, long now) {
    open.add(added);
    if (open.size() <= bounds.connections()) {
      return List.of();
    }
    List<GivenUp> gone = new ArrayList<>();
    int target = bounds.connections() - bounds.connections() / SPARE_CONNECTIONS_DIVISOR;
    for (HeldConnection next : byBurden(now)) {
      if (open.size() <= target) {
        break;
      }
      if (next != added) {
        gone.add(giveUp(next, GiveUpReason.CONNECTIONS));
      }
    }
    if (open.size() > bounds.connections()) {
      gone.add(giveUp(added, GiveUpReason.CONNECTIONS));
    }
    return gone;
  }

  /** Sets what a connection holds; returns those that have to go for it, maybe itself. */
  public synchronized List<GivenUp> hold(HeldConnection holder, long heldBytes, long now) {
    if (!open.contains(holder)) {
      return List.of();
    }
    boolean grows = heldBytes > holder.bytes();
    bytes += heldBytes - holder.bytes();
    holder.setBytes(heldBytes);
    long room = room();
    if (!grows || bytes <= roomFor(holder, room)) {
      return List.of();
    }
    List<GivenUp> gone = new ArrayList<>();
    for (HeldConnection next : byBurden(now)) {
      if (bytes <= room - room / SPARE_BYTES_DIVISOR) {
        break;
      }
      if (next.bytes() > 0) {
        gone.add(giveUp(next, GiveUpReason.MEMORY));
      }
    }
    if (open.contains(holder) && bytes > roomFor(holder, room)) {
      gone.add(giveUp(holder, GiveUpReason.MEMORY));
    }
    return gone;
  }

  private long room() {
    return Math.max(bounds.bytes() - otherBytes.getAsLong(), bounds.bytes() / OWN_BYTES_DIVISOR);
  }

  private static long roomFor(HeldConnection holder, long room) {
    return holder.bytes() <= SMALL_BYTES ? room : room - room / SMALL_REQUESTS_DIVISOR;
  }

  private List<HeldConnection> byBurden(long now) {
    record Burdened(HeldConnection connection, double burden) {}

    return open.stream()
        .filter(HeldConnection::canBeGivenUp)
        .map(connection -> new Burdened(connection, connection.burden(now)))
        .sorted(Comparator.comparingDouble(Burdened::burden).reversed())
        .map(Burdened::connection)
        .toList();
  }

  /** Forgets a connection that has closed and holds nothing any more. */
  public synchronized void remove(HeldConnection connection) {
    if (open.remove(connection)) {
      bytes -= connection.bytes();
    } else if (leaving.remove(connection)) {
      leavingBytes -= connection.bytes();
    }
  }

  /**
   * Returns whether so much is being released that nothing more should be read before it is.
   *
   * <p>The event loop releases what a closed connection holds only after it has read the others.
   */
  public synchronized boolean isReleasing() {
    return leavingBytes > bounds.bytes() / RELEASING_DIVISOR;
  }

  private GivenUp giveUp(HeldConnection connection, GiveUpReason reason) {
    open.remove(connection);
    bytes -= connection.bytes();
    leaving.add(connection);
    leavingBytes += connection.bytes();
    givenUp.merge(reason, 1L, Long::sum);
    return new GivenUp(connection, reason);
  }

  /**
   * Returns the connections whose time is over. Called about once a second; after a longer pause
   * none are returned, since what arrived meanwhile has not been read yet.
   */
  public synchronized List<GivenUp> overdue(IngressLimits limits, long now) {
    boolean late = now - sweptAt > 2 * SWEEP_MILLISECONDS;
    sweptAt = now;
    if (late) {
      return List.of();
    }
    List<GivenUp> gone = new ArrayList<>();
    for (HeldConnection connection : List.copyOf(open)) {
      overdueReason(connection, limits, now)
          .ifPresent(reason -> gone.add(giveUp(connection, reason)));
    }
    return gone;
  }

  private static Optional<GiveUpReason> overdueReason(
      HeldConnection connection, IngressLimits limits, long now) {
    long waited = connection.millisecondsInStage(now);
    return switch (connection.stage()) {
      case IDLE -> when(waited > limits.idleTimeoutMilliseconds(), GiveUpReason.IDLE);
      case HEAD -> when(waited > limits.headerTimeoutMilliseconds(), GiveUpReason.HEADER_TIMEOUT);
      case BODY -> when(waited > limits.idleTimeoutMilliseconds(), GiveUpReason.BODY_TIMEOUT);
      case WHOLE, UNREAD -> Optional.empty();
    };
  }

  private static Optional<GiveUpReason> when(boolean over, GiveUpReason reason) {
    return over ? Optional.of(reason) : Optional.empty();
  }

  /** Returns the memory that all connections hold. */
  public synchronized long bytes() {
    return bytes;
  }

  /** Returns the number of open connections. */
  public synchronized int size() {
    return open.size();
  }

  /** Returns how many connections were given up for a reason. */
  public synchronized long givenUp(GiveUpReason reason) {
    return givenUp.getOrDefault(reason, 0L);
  }
}
