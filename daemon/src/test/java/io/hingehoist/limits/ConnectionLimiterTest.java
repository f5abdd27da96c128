package io.hingehoist.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.metrics.Metrics;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which connections of other processes give way when there are too many. */
public final class ConnectionLimiterTest {
  private static final int MAX_CONNECTIONS = 3;
  private static final long MAX_HELD_BYTES = 1_000;
  private static final long LONG_MS = 1_000_000;

  private ConnectionLimiter limiter;
  private List<PeerStandIn> closed;

  private final class PeerStandIn implements LimitedConnection {
    private long heldBytes;

    private void hold(long bytes) {
      limiter.recordHeld(this, bytes);
      heldBytes = bytes;
      limiter.enforceHeldBytes();
    }

    @Override
    public Stage stage() {
      return Stage.RECEIVING;
    }

    @Override
    public long heldBytes() {
      return heldBytes;
    }

    @Override
    public long releasableBytes() {
      return heldBytes;
    }

    @Override
    public void giveWay() {
      close(CloseReason.HELD_BYTES);
    }

    @Override
    public void close(CloseReason reason) {
      closed.add(this);
      limiter.remove(this);
    }

    @Override
    public void checkTimeouts(long nowMs) {}
  }

  @BeforeMethod
  public void createLimiter() {
    limiter =
        ConnectionLimiter.of(
            new ConnectionLimits(MAX_CONNECTIONS, MAX_HELD_BYTES, LONG_MS, LONG_MS));
    closed = new ArrayList<>();
  }

  private PeerStandIn connect(String member) {
    PeerStandIn connection = new PeerStandIn();
    assertTrue(limiter.add(connection), "refused: " + member);
    limiter.recordRequest(connection);
    limiter.recordMember(connection, member);
    return connection;
  }

  @Test
  public void aMemberDoesNotGiveWayToAnother() {
    connect("a");
    connect("b");
    connect("c");
    assertFalse(limiter.add(new PeerStandIn()));
    assertEquals(closed, List.of());
  }

  /**
   * Connections that had fallen silent without being closed kept their place, until their own
   * members could not connect any more.
   */
  @Test
  public void aSilentConnectionGivesWayToTheMembersNext() {
    PeerStandIn silent = connect("a");
    PeerStandIn newer = connect("a");
    PeerStandIn other = connect("b");
    PeerStandIn newest = connect("a");
    assertEquals(closed, List.of(silent));
    connect("c");
    assertEquals(closed, List.of(silent, newer));
    assertFalse(limiter.add(new PeerStandIn()));
    assertFalse(closed.contains(other) || closed.contains(newest));
  }

  @Test
  public void unknownConnectionsGiveWayToMembers() {
    PeerStandIn unknown = new PeerStandIn();
    assertTrue(limiter.add(unknown));
    connect("a");
    connect("b");
    connect("c");
    assertEquals(closed, List.of(unknown));
  }

  /** A member that was sending much was closed for unfinished frames of somebody unknown. */
  @Test
  public void unfinishedFramesOfUnknownConnectionsGiveWayToThoseOfMembers() {
    PeerStandIn member = connect("a");
    PeerStandIn unknown = new PeerStandIn();
    assertTrue(limiter.add(unknown));
    member.hold(800);
    unknown.hold(300);
    assertEquals(closed, List.of(unknown));
  }

  /** No log line or metric said that a deployment needs more connections than a process allows. */
  @Test
  public void aDeploymentThatNeedsMoreConnectionsIsReported() {
    List<String> lines = new ArrayList<>();
    ConnectionReports reports =
        ConnectionReports.create(
            limiter,
            "peer",
            Metrics.create(),
            (event, outcome) -> lines.add(event + " " + outcome));
    reports.recordNeeded(MAX_CONNECTIONS);
    reports.recordNeeded(MAX_CONNECTIONS + 1);
    reports.recordNeeded(MAX_CONNECTIONS + 2);
    reports.recordNeeded(MAX_CONNECTIONS);
    assertEquals(
        lines,
        List.of(
            "connectionLimitBelowNeed group=peer needed=4 maxConnections=3",
            "connectionLimitSufficient group=peer needed=3 maxConnections=3"));
  }
}
