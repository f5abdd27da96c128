package io.hingehoist.limits;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Limits what the connections of callers make a process hold, over all of its listeners, and
 * decides which connection gives way. Not thread-safe: confined to the event loop, or guarded by
 * its own monitor.
 *
 * <p>If the connections hold too much memory, those give way first whose requests are not complete,
 * and among them the one that holds most; a small request finds room while large unfinished ones
 * are refused. Connections of members of the deployment give way last, and a request in progress
 * never does. If there are too many connections, one gives way whose member has a newer one, or
 * else the oldest that has never sent a complete request, or else the one that is idle for longest.
 * The connection of a member never gives way to another's.
 */
public final class ConnectionLimiter {
  private static final Comparator<LimitedConnection> GIVES_WAY_FIRST =
      Comparator.comparing(LimitedConnection::stage)
          .thenComparing(Comparator.comparingLong(LimitedConnection::releasableBytes).reversed());

  private final ConnectionLimits limits;
  private final Set<LimitedConnection> all = new HashSet<>();

  /** The connections that were refused and not yet closed, the oldest first. */
  private final Set<LimitedConnection> refused = new LinkedHashSet<>();

  /** The newest connection of each member of the deployment. */
  private final Map<String, LimitedConnection> byMember = new HashMap<>();

  /** The values of {@link #byMember}. */
  private final Set<LimitedConnection> ofMembers = new HashSet<>();

  private final Comparator<LimitedConnection> membersLast =
      Comparator.comparing(ofMembers::contains);

  /** The connections of members that have a newer one, the oldest first. */
  private final Set<LimitedConnection> superseded = new LinkedHashSet<>();

  /** The connections that never sent a complete request, the oldest first. */
  private final Set<LimitedConnection> unproven = new LinkedHashSet<>();

  /** The connections without a request in progress, the one idle for longest first. */
  private final Set<LimitedConnection> idle = new LinkedHashSet<>();

  private Consumer<CloseReason> onClosed = reason -> {};
  private long heldBytes;

  private ConnectionLimiter(ConnectionLimits limits) {
    this.limits = limits;
  }

  /** Returns a limiter without connections. */
  public static ConnectionLimiter of(ConnectionLimits limits) {
    return new ConnectionLimiter(limits);
  }

  /** Returns the limits. */
  public ConnectionLimits limits() {
    return limits;
  }

  /** Sets the action that is run for each connection that is refused or closed before its time. */
  void onClosed(Consumer<CloseReason> action) {
    onClosed = action;
  }

  /** Returns the number of open connections. */
  public int connections() {
    return all.size();
  }

  /** Returns the memory that all connections hold. */
  public long heldBytes() {
    return heldBytes;
  }

  /**
   * Adds a new connection, and makes another one give way if there are too many.
   *
   * @return whether the connection may stay open
   */
  public boolean add(LimitedConnection connection) {
    if (all.size() >= limits.maxConnections() && !makeRoom()) {
      onClosed.accept(CloseReason.CONNECTIONS);
      return false;
    }
    all.add(connection);
    unproven.add(connection);
    return true;
  }

  private boolean makeRoom() {
    Optional<LimitedConnection> first =
        Stream.of(refused, superseded, unproven, idle)
            .map(Set::iterator)
            .filter(Iterator::hasNext)
            .map(Iterator::next)
            .findFirst();
    first.ifPresent(
        connection -> {
          connection.close(CloseReason.CONNECTIONS);
          remove(connection);
        });
    return first.isPresent();
  }

  /** Removes a connection that has closed, and what it holds. */
  public void remove(LimitedConnection connection) {
    if (all.remove(connection)) {
      heldBytes -= connection.heldBytes();
      refused.remove(connection);
      superseded.remove(connection);
      unproven.remove(connection);
      idle.remove(connection);
      if (ofMembers.remove(connection)) {
        byMember.values().remove(connection);
      }
    }
  }

  /**
   * Records which member of the deployment a connection belongs to. An older connection of the same
   * member may have fallen silent without being closed.
   *
   * @param member the name of the member, which its connections have in common
   */
  public void recordMember(LimitedConnection connection, String member) {
    if (!all.contains(connection)) {
      return;
    }
    LimitedConnection older = byMember.put(member, connection);
    if (older != null && older != connection) {
      ofMembers.remove(older);
      superseded.add(older);
    }
    ofMembers.add(connection);
  }

  /** Records that a connection has sent a complete request, which is in progress or waits. */
  public void recordRequest(LimitedConnection connection) {
    unproven.remove(connection);
    idle.remove(connection);
  }

  /** Records that a connection has neither a request in progress nor one that waits. */
  public void recordIdle(LimitedConnection connection) {
    if (all.contains(connection) && !refused.contains(connection)) {
      idle.add(connection);
    }
  }

  /** Records that a connection was refused, and is closed once its caller had time to read why. */
  public void recordRefusal(LimitedConnection connection, CloseReason reason) {
    onClosed.accept(reason);
    if (all.contains(connection)) {
      unproven.remove(connection);
      idle.remove(connection);
      refused.add(connection);
    }
  }

  /** Records that a connection is closed before its time. */
  public void recordClose(CloseReason reason) {
    onClosed.accept(reason);
  }

  /** Records that the memory that a connection holds has changed. */
  public void recordHeld(LimitedConnection connection, long changeBytes) {
    if (all.contains(connection)) {
      heldBytes += changeBytes;
    }
  }

  /** Makes connections give way until what all of them hold is within the limit. */
  public void enforceHeldBytes() {
    while (heldBytes > limits.maxHeldBytes()) {
      Optional<LimitedConnection> first =
          all.stream()
              .filter(connection -> connection.releasableBytes() > 0)
              .min(membersLast.thenComparing(GIVES_WAY_FIRST));
      if (first.isEmpty()) {
        return;
      }
      first.get().giveWay();
    }
  }

  /** Ends the connections that have exceeded a time limit. */
  public void checkTimeouts(long nowMs) {
    List.copyOf(all).forEach(connection -> connection.checkTimeouts(nowMs));
  }
}
