package io.hingehoist.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerBeat;
import io.hingehoist.message.Peer;
import io.hingehoist.message.Role;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.message.SessionResumed;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.StopRun;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.PeerChannel;
import io.hingehoist.net.PeerHandler;
import io.hingehoist.net.PeerLink;
import io.hingehoist.wire.FreeAddresses;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class HostSessionsTest {
  private static final String HOST = "h";
  private static final long INCARNATION = 2;
  private static final long LEASE_MS = 650;
  private static final long TIMEOUT_S = 10;

  private record Lost(String hostId, boolean mayHoldLease, long leaseRenewedAtMs) {}

  private record RecordingListener(
      BlockingQueue<SessionOpened> openings,
      BlockingQueue<Long> suspensionsAtMs,
      BlockingQueue<Lost> losses)
      implements HostSessions.Listener {
    @Override
    public void beforeMessage() {}

    @Override
    public void onOpened(String hostId, SessionOpened message) {
      openings.add(message);
    }

    @Override
    public void onMessage(String hostId, Message message) {}

    @Override
    public void onSuspended(String hostId, long heardAgoMs) {
      suspensionsAtMs.add(EventLoop.nowMs());
    }

    @Override
    public void onResumed(String hostId, long suspendedForMs, int repeatedMessages) {}

    @Override
    public void onLost(String hostId, boolean mayHoldLease, long leaseRenewedAtMs) {
      losses.add(new Lost(hostId, mayHoldLease, leaseRenewedAtMs));
    }

    @Override
    public void onAnnounce(Peer peer) {}

    @Override
    public void onProbe(long number, Consumer<Message> replies) {}

    @Override
    public boolean follows(String hostId) {
      return true;
    }
  }

  /** A host that opens a session and then sends nothing. */
  private record Host(long incarnation, long sessionId, BlockingQueue<Long> closed)
      implements PeerHandler {
    @Override
    public void onOpen(PeerChannel channel) {
      channel.send(new SessionOpened(sessionId, HOST, incarnation, "z", true));
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {}

    @Override
    public void onClosed(PeerChannel channel) {
      closed.add(sessionId);
    }
  }

  /** A host that resumes a session. */
  private record ResumingHost(long sessionId, BlockingQueue<String> received)
      implements PeerHandler {
    @Override
    public void onOpen(PeerChannel channel) {
      channel.send(new SessionResumed(sessionId, 0));
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      switch (message) {
        case OwnerBeat heartbeat -> received.add("heartbeat");
        case StartRuns order -> received.add("order " + order.runs().getFirst().task());
        case StopRun stop -> received.add("stop " + stop.run().task());
        default -> {}
      }
    }

    @Override
    public void onClosed(PeerChannel channel) {}
  }

  private BlockingQueue<Long> closed;
  private BlockingQueue<SessionOpened> opened;
  private BlockingQueue<Long> suspendedAtMs;
  private BlockingQueue<Lost> lost;
  private EventLoop loop;
  private HostSessions sessions;
  private String ownerAddress;

  @BeforeMethod
  public void open() throws IOException {
    closed = new LinkedBlockingQueue<>();
    opened = new LinkedBlockingQueue<>();
    suspendedAtMs = new LinkedBlockingQueue<>();
    lost = new LinkedBlockingQueue<>();
    loop = EventLoop.start(Throwable::printStackTrace);
    ownerAddress = FreeAddresses.next();
    Peer self = new Peer("o", Role.ENTRY, ownerAddress, 1, "z");
    // Late events on connections of an earlier test go to the queues of that test.
    RecordingListener listener = new RecordingListener(opened, suspendedAtMs, lost);
    sessions = new HostSessions(loop, self, ownerAddress, LEASE_MS, Metrics.create(), listener);
  }

  @AfterMethod
  public void close() {
    loop.execute(sessions::close);
    loop.close();
  }

  private PeerLink openSession(long sessionId) {
    return openSession(INCARNATION, sessionId);
  }

  private PeerLink openSession(long incarnation, long sessionId) {
    return connect(incarnation, new Host(incarnation, sessionId, closed));
  }

  private PeerLink connect(long incarnation, PeerHandler host) {
    Hello hello = hello(incarnation);
    return PeerLink.open(
        loop, ownerAddress, "127.0.0.1:1", LEASE_MS, () -> hello, host, Metrics.create());
  }

  private static Hello hello(long incarnation) {
    return new Hello(Role.AGENT, HOST, incarnation, "", 1);
  }

  /** Delivers what a host sent to open a session before its process ended. */
  private void openSessionOfEndedProcess(long incarnation, long sessionId) throws IOException {
    int port = Integer.parseInt(ownerAddress.substring(ownerAddress.indexOf(':') + 1));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      DataOutputStream frames = new DataOutputStream(socket.getOutputStream());
      writeFrame(frames, hello(incarnation));
      writeFrame(frames, new SessionOpened(sessionId, HOST, incarnation, "z", true));
    }
  }

  private static void writeFrame(DataOutputStream frames, Message message) throws IOException {
    ByteBuffer body = message.toBytes().asByteBuffer();
    byte[] content = new byte[body.remaining()];
    body.get(content);
    frames.writeInt(content.length);
    frames.write(content);
  }

  /**
   * Guards against a delayed message that replaces a newer session: the owner would order the runs
   * of the newer session again elsewhere while they are in progress.
   */
  @Test
  public void aSessionThatIsOpenedLateDoesNotReplaceANewerOne() throws Exception {
    PeerLink newer = openSession(2);
    assertNotNull(opened.poll(TIMEOUT_S, TimeUnit.SECONDS));
    PeerLink late = openSession(1);
    assertEquals(closed.poll(TIMEOUT_S, TimeUnit.SECONDS), Long.valueOf(1));
    assertTrue(lost.isEmpty());
    loop.execute(newer::close);
    loop.execute(late::close);
  }

  private void openSessionAndDisconnect() throws Exception {
    PeerLink link = openSession(1);
    assertNotNull(opened.poll(TIMEOUT_S, TimeUnit.SECONDS));
    loop.execute(link::close);
  }

  /**
   * Guards against tasks that run twice. This happens if the owner waits for less than the rest of
   * its lease when a host refuses a connection, as the host's process may still be running.
   */
  @Test
  public void aHostThatRefusesAConnectionMayStillHoldItsLease() throws Exception {
    openSessionAndDisconnect();
    Long suspended = suspendedAtMs.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertNotNull(suspended);
    Peer refusing = new Peer(HOST, Role.AGENT, FreeAddresses.next(), 1, "z");
    loop.execute(() -> sessions.announceToMissing(List.of(refusing), EventLoop.nowMs()));
    Lost session = lost.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertNotNull(session);
    assertEquals(session.hostId(), HOST);
    assertTrue(session.mayHoldLease());
    assertTrue(session.leaseRenewedAtMs() <= suspended, session + " suspended at " + suspended);
  }

  @DataProvider
  public static Object[][] otherIncarnations() {
    return new Object[][] {{INCARNATION - 1}, {INCARNATION + 1}};
  }

  /** A host's clock may be set back between two of its processes, so either may be the former. */
  @Test(dataProvider = "otherIncarnations")
  public void aFormerProcessDoesNotReplaceTheSessionOfThePresentOne(long former) throws Exception {
    PeerLink present = openSession(INCARNATION, 1);
    assertNotNull(opened.poll(TIMEOUT_S, TimeUnit.SECONDS));
    PeerLink late = openSession(former, 2);
    assertEquals(closed.poll(TIMEOUT_S, TimeUnit.SECONDS), Long.valueOf(2));
    assertTrue(lost.isEmpty());
    loop.execute(present::close);
    loop.execute(late::close);
  }

  @Test(dataProvider = "otherIncarnations")
  public void aHostMayHoldALeaseAfterAnotherProcessHasOpenedASession(long other) throws Exception {
    openSessionAndDisconnect();
    Long suspended = suspendedAtMs.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertNotNull(suspended);
    PeerLink link = openSession(other, 2);
    Lost session = lost.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertNotNull(session);
    assertTrue(session.mayHoldLease());
    assertTrue(session.leaseRenewedAtMs() <= suspended, session + " suspended at " + suspended);
    loop.execute(link::close);
  }

  @Test
  public void aDelayedStatementOfAnEndedProcessDoesNotEndTheRunsOfALaterSession() throws Exception {
    openSessionOfEndedProcess(INCARNATION, 1);
    assertNotNull(suspendedAtMs.poll(TIMEOUT_S, TimeUnit.SECONDS));
    SessionOpened opening = opened.poll();
    assertNotNull(opening);
    assertFalse(opening.formerRunsOver());
    assertTrue(opened.isEmpty(), "reported again: " + opened);
  }

  @Test
  public void theStatementOfALiveHostIsReported() throws Exception {
    PeerLink link = openSession(1);
    assertFormerRunsOver(false);
    assertFormerRunsOver(true);
    loop.execute(link::close);
  }

  @Test
  public void aStatementIsReportedAfterItsConnectionWasReplaced() throws Exception {
    openSessionOfEndedProcess(INCARNATION, 1);
    assertFormerRunsOver(false);
    assertNotNull(suspendedAtMs.poll(TIMEOUT_S, TimeUnit.SECONDS));
    PeerLink link = connect(INCARNATION, new ResumingHost(1, new LinkedBlockingQueue<>()));
    assertFormerRunsOver(true);
    loop.execute(link::close);
  }

  private void assertFormerRunsOver(boolean expected) throws InterruptedException {
    SessionOpened opening = opened.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertNotNull(opening);
    assertEquals(opening.formerRunsOver(), expected);
  }

  /** If the connection failed in between, the run would go on for another lease. */
  @Test
  public void aResumedSessionRenewsNoLeaseBeforeItsStops() throws Exception {
    assertRepeatedOnResumption(
        List.of(order("a"), stop("a"), order("b")), "order a", "stop a", "heartbeat", "order b");
  }

  /** A host refuses an order without a valid lease. */
  @Test
  public void aResumedSessionRenewsTheLeaseBeforeItsOrders() throws Exception {
    assertRepeatedOnResumption(List.of(order("a")), "heartbeat", "order a");
  }

  private void assertRepeatedOnResumption(List<Message> sent, String... expected) throws Exception {
    openSessionOfEndedProcess(INCARNATION, 1);
    assertNotNull(suspendedAtMs.poll(TIMEOUT_S, TimeUnit.SECONDS));
    loop.execute(() -> sent.forEach(message -> sessions.send(HOST, message, EventLoop.nowMs())));
    BlockingQueue<String> received = new LinkedBlockingQueue<>();
    PeerLink link = connect(INCARNATION, new ResumingHost(1, received));
    for (String event : expected) {
      assertEquals(received.poll(TIMEOUT_S, TimeUnit.SECONDS), event);
    }
    loop.execute(link::close);
  }

  private static StartRuns order(String task) {
    return new StartRuns(1, "w", "job", "", 10, new Room(1, 1, 0), List.of(new RunRef(task, 1)));
  }

  private static StopRun stop(String task) {
    return new StopRun(new RunRef(task, 1));
  }
}
