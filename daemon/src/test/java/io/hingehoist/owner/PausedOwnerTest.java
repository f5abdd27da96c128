package io.hingehoist.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.hingehoist.adapter.JobIntake;
import io.hingehoist.log.DecisionLog;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.Hello;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.KeepAlive;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerBeat;
import io.hingehoist.message.Role;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunEnd;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.message.SessionResumed;
import io.hingehoist.message.SessionUnknown;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.PeerChannel;
import io.hingehoist.net.PeerHandler;
import io.hingehoist.net.PeerLink;
import io.hingehoist.run.JobEnd;
import io.hingehoist.run.JobPlan;
import io.hingehoist.run.StepPlan;
import io.hingehoist.run.TaskNames;
import io.hingehoist.wire.FreeAddresses;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class PausedOwnerTest {
  private static final long SESSION = 1;
  private static final long TIMEOUT_S = 10;
  private static final Hello HELLO = new Hello(Role.AGENT, "h", 1, "", 1);
  private static final Room NEED = new Room(100, 10, 0);
  private static final Room CAPACITY = new Room(8_000, 8_000, 0);

  /** A host with one empty worker. */
  private static final class Host implements PeerHandler {
    private final BlockingQueue<String> events;
    private final BlockingQueue<Long> leaseTimesMs;
    private long heartbeatSentAtMs;

    private Host(BlockingQueue<String> events, BlockingQueue<Long> leaseTimesMs) {
      this.events = events;
      this.leaseTimesMs = leaseTimesMs;
    }

    @Override
    public void onOpen(PeerChannel channel) {
      WorkerRow row =
          new WorkerRow("w", "s", "z", List.of(), CAPACITY, CAPACITY, WorkerState.READY, 100);
      channel.send(new SessionOpened(SESSION, "h", 1, "z", true));
      channel.send(new HostRows(0, List.of(row)));
    }

    @Override
    public void onMessage(PeerChannel channel, Message message) {
      switch (message) {
        case OwnerBeat heartbeat -> heartbeatSentAtMs = heartbeat.sentAtMs();
        case StartRuns order -> {
          leaseTimesMs.add(heartbeatSentAtMs);
          events.add("ordered " + order.jobId());
        }
        default -> {}
      }
    }

    @Override
    public void onClosed(PeerChannel channel) {
      events.add("closed");
    }
  }

  private EventLoop ownerLoop;
  private EventLoop hostLoop;
  private DecisionLog log;
  private String address;
  private OwnerNode owner;
  private JobIntake intake;
  private BlockingQueue<String> hostEvents;

  /** For each order, the time from which the host's lease counted when the order arrived. */
  private BlockingQueue<Long> leaseTimesMs;

  private PeerLink hostLink;

  @BeforeMethod
  public void open() throws Exception {
    ownerLoop = EventLoop.start(Throwable::printStackTrace);
    hostLoop = EventLoop.start(Throwable::printStackTrace);
    log = StartedOwner.discardingLog();
    hostEvents = new LinkedBlockingQueue<>();
    leaseTimesMs = new LinkedBlockingQueue<>();
    address = FreeAddresses.next();
    startOwner();
    hostLink =
        PeerLink.open(
            hostLoop,
            address,
            "127.0.0.1:1",
            TimeUnit.SECONDS.toMillis(TIMEOUT_S),
            () -> HELLO,
            new Host(hostEvents, leaseTimesMs),
            Metrics.create());
  }

  private void startOwner() throws Exception {
    StartedOwner started = StartedOwner.start(ownerLoop, log, address);
    owner = started.node();
    intake = started.intake();
  }

  @AfterMethod
  public void close() {
    hostLoop.execute(hostLink::close);
    ownerLoop.execute(owner::close);
    hostLoop.close();
    ownerLoop.close();
    log.close();
  }

  private CompletableFuture<JobEnd> submit(String jobId) {
    CompletableFuture<JobEnd> end = new CompletableFuture<>();
    submit(jobId, "s", end::complete);
    return end;
  }

  private void submit(String jobId, String service, JobIntake.Waiter waiter) {
    StepPlan step = StepPlan.of(1, NEED, 100);
    intake.submit(
        new JobPlan(jobId, "q", service, "", 0, 3, 10_000, 10_000, List.of(step)), waiter);
  }

  @DataProvider
  public static Object[][] submittedBeforePause() {
    return new Object[][] {{true}, {false}};
  }

  /** Callers have submitted their jobs to another owner by the end of the pause. */
  @Test(dataProvider = "submittedBeforePause")
  public void aPausedOwnerOrdersNoRunsBeforeItHasDroppedItsJobs(boolean submittedBefore)
      throws Exception {
    ownerLoop.execute(() -> submit("first"));
    assertEquals(hostEvents.poll(TIMEOUT_S, TimeUnit.SECONDS), "ordered first");
    CompletableFuture<JobEnd> end = new CompletableFuture<>();
    ownerLoop.execute(
        () -> {
          if (!submittedBefore) {
            StartedOwner.pauseUntilLeaseIsOver();
          }
          submit("second").thenAccept(end::complete);
          if (submittedBefore) {
            StartedOwner.pauseUntilLeaseIsOver();
          }
        });
    JobEnd dropped = end.get(TIMEOUT_S, TimeUnit.SECONDS);
    assertTrue(dropped instanceof JobEnd.Dropped, "" + dropped);
    String event = hostEvents.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertNotNull(event);
    assertEquals(event, "closed");
  }

  /** The host has no run of this owner, so its lease may be over without an end of its session. */
  @Test
  public void anOwnerThatIsPausedBetweenDecisionAndOrderRenewsNoLease() throws Exception {
    CompletableFuture<JobEnd> firstEnd = new CompletableFuture<>();
    ownerLoop.execute(() -> submit("first", "s", firstEnd::complete));
    assertEquals(hostEvents.poll(TIMEOUT_S, TimeUnit.SECONDS), "ordered first");
    RunEnded done = new RunEnded(new RunRef(TaskNames.of("first", 0, 0), 1), RunEnd.DONE, 1);
    hostLoop.execute(() -> hostLink.send(done));
    assertTrue(firstEnd.get(TIMEOUT_S, TimeUnit.SECONDS) instanceof JobEnd.Completed);
    leaseTimesMs.clear();
    AtomicLong pausedAtMs = new AtomicLong();
    ownerLoop.execute(
        () -> {
          submit("cancelled", "none", end -> pauseFrom(pausedAtMs));
          intake.cancel("cancelled");
          submit("last");
        });
    assertEquals(hostEvents.poll(TIMEOUT_S, TimeUnit.SECONDS), "ordered last");
    long leaseTimeMs = leaseTimesMs.remove();
    assertTrue(leaseTimeMs <= pausedAtMs.get(), leaseTimeMs + " is after " + pausedAtMs);
  }

  private static void pauseFrom(AtomicLong startMs) {
    startMs.set(EventLoop.nowMs());
    StartedOwner.pauseUntilLeaseIsOver();
  }

  @Test
  public void aPausedOwnerRepeatsNoOrdersBeforeItHasDroppedItsJobs() throws Exception {
    ownerLoop.execute(() -> submit("first"));
    assertEquals(hostEvents.poll(TIMEOUT_S, TimeUnit.SECONDS), "ordered first");
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      DataInputStream in = new DataInputStream(socket.getInputStream());
      writeFrame(out, HELLO);
      writeFrame(out, new KeepAlive(true));
      assertEquals(readFrame(in), new KeepAlive(false));
      CountDownLatch paused = new CountDownLatch(1);
      CountDownLatch sent = new CountDownLatch(1);
      ownerLoop.execute(
          () -> {
            paused.countDown();
            awaitUninterruptibly(sent);
            StartedOwner.pauseUntilLeaseIsOver();
          });
      assertTrue(paused.await(TIMEOUT_S, TimeUnit.SECONDS));
      writeFrame(out, new SessionResumed(SESSION, 0));
      sent.countDown();
      assertEquals(readFrame(in), new SessionUnknown(SESSION));
    }
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      assertTrue(latch.await(TIMEOUT_S, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void writeFrame(DataOutputStream out, Message message) throws IOException {
    ByteBuffer body = message.toBytes().asByteBuffer();
    byte[] content = new byte[body.remaining()];
    body.get(content);
    out.writeInt(content.length);
    out.write(content);
  }

  private static Message readFrame(DataInputStream in) throws IOException {
    return Message.fromBytes(Bytes.copyOf(in.readNBytes(in.readInt())));
  }
}
