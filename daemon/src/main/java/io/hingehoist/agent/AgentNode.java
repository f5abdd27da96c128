package io.hingehoist.agent;

import io.hingehoist.client.ControlClient;
import io.hingehoist.client.Leases;
import io.hingehoist.command.ChangeAgentState;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.MemberRefused;
import io.hingehoist.command.RegisterAgent;
import io.hingehoist.loop.InboxLoop;
import io.hingehoist.loop.SleepDetector;
import io.hingehoist.message.CreditDemand;
import io.hingehoist.message.CreditReturn;
import io.hingehoist.message.FenceJob;
import io.hingehoist.message.HeartbeatRequest;
import io.hingehoist.message.HeartbeatResponse;
import io.hingehoist.message.Hello;
import io.hingehoist.message.MemberState;
import io.hingehoist.message.Message;
import io.hingehoist.message.RetireJobs;
import io.hingehoist.message.RevokeTask;
import io.hingehoist.message.Role;
import io.hingehoist.message.RunRequest;
import io.hingehoist.message.StartTask;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.settings.AgentSection;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.wire.Addresses;
import io.hingehoist.wire.FrameConnection;
import io.hingehoist.wire.FrameHandler;
import io.hingehoist.wire.FrameServer;
import io.hingehoist.worker.LedgerEffect;
import io.hingehoist.worker.RunKey;
import io.hingehoist.worker.TaskLedger;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * An agent: one control thread that owns the {@link TaskLedger}, and traffic threads for entries,
 * the control replicas and the backend server.
 */
public final class AgentNode implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(AgentNode.class);
  private static final int MAX_QUEUED_FRAMES = 4_096;
  private static final long HEARTBEAT_MS = 500;
  private static final long POLL_MS = 50;
  private static final int MAX_BATCH = 64;
  private static final long LAST_WORD_MS = 2_000;
  private static final long REHEARSAL_MS = 2_000;

  private final NodeSection node;
  private final AgentSection settings;
  private final Metrics metrics;
  private final TaskLedger ledger;
  private final BackendClient backend;
  private final ControlClient control;
  private final FrameServer server;
  private final ExecutorService runners;
  private final Map<Long, FrameConnection> entries = new HashMap<>();
  private final CountDownLatch settled = new CountDownLatch(1);
  private final InboxLoop<Runnable> loop;
  private long heartbeatSentAtMs;
  private boolean heartbeatOpen;
  private boolean registering;
  private boolean hadLease;
  private boolean stopping;
  private final SleepDetector sleepWatch = SleepDetector.create();
  private long sleeps;

  private AgentNode(
      NodeSection node,
      AgentSection settings,
      Metrics metrics,
      ThreadFactory threads,
      Consumer<Throwable> fatal)
      throws IOException {
    this.node = node;
    this.settings = settings;
    this.metrics = metrics;
    long incarnation = System.currentTimeMillis();
    this.ledger = TaskLedger.create(node.nodeId(), incarnation, settings.slots());
    this.backend = BackendClient.create(settings.backendUrl(), settings.connections());
    Hello hello =
        new Hello(Role.AGENT, node.nodeId(), incarnation, "", FrameConnection.PROTOCOL_VERSION);
    this.control =
        ControlClient.create(
            node.controlAddresses(), settings.listenAddress(), hello, metrics, threads);
    this.runners = Executors.newFixedThreadPool(settings.slots(), threads);
    this.loop = InboxLoop.create("ledger", POLL_MS, MAX_BATCH, this::onBatch, fatal);
    this.server =
        FrameServer.open(
            Addresses.firstNonEmpty(settings.bindAddress(), settings.listenAddress()),
            EntryHandler::new,
            metrics,
            threads,
            MAX_QUEUED_FRAMES);
  }

  /** Starts an agent. It takes work once the control replicas have given it a lease. */
  public static AgentNode start(
      NodeSection node,
      AgentSection settings,
      Metrics metrics,
      ThreadFactory threads,
      Consumer<Throwable> fatal)
      throws IOException {
    AgentNode agent = new AgentNode(node, settings, metrics, threads, fatal);
    agent.loop.start();
    LOG.infof(
        "event=agentStarted agent=%s incarnation=%d", node.nodeId(), agent.ledger.incarnation());
    return agent;
  }

  // The control thread.

  private void onBatch(List<Runnable> events, long nowMs) {
    checkSleep();
    events.forEach(Runnable::run);
    onTick(nowMs);
  }

  /** After a sleep only a heartbeat that was sent since brings a lease. */
  private void checkSleep() {
    long sleptMs = sleepWatch.sleptMs();
    if (sleptMs > 0) {
      LOG.infof("event=mayHaveSlept agent=%s ms=%d", node.nodeId(), sleptMs);
      ledger.dropLease();
      sleeps++;
      heartbeatSentAtMs = 0;
    }
  }

  private void onTick(long now) {
    if (!heartbeatOpen && now - heartbeatSentAtMs >= HEARTBEAT_MS) {
      sendHeartbeat(now);
    }
    boolean hasLease = ledger.hasLease(now);
    if (hasLease != hadLease) {
      hadLease = hasLease;
      LOG.infof("event=%s agent=%s", hasLease ? "leaseGained" : "leaseLost", node.nodeId());
      if (hasLease) {
        tellEntries();
      }
    }
    if (stopping && ledger.isSettled()) {
      settled.countDown();
    }
  }

  private void sendHeartbeat(long now) {
    heartbeatSentAtMs = now;
    heartbeatOpen = true;
    long incarnation = ledger.incarnation();
    long sleepsBefore = sleeps;
    control
        .heartbeat(
            id ->
                new HeartbeatRequest(
                    id, Role.AGENT, node.nodeId(), incarnation, stopping, 0, 0, List.of()))
        .whenComplete(
            (response, failure) ->
                loop.add(
                    () -> {
                      heartbeatOpen = false;
                      if (response != null && sleeps == sleepsBefore) {
                        onHeartbeat(response, incarnation, now);
                      }
                    }));
  }

  private void onHeartbeat(HeartbeatResponse response, long incarnation, long sentAtMs) {
    if (incarnation != ledger.incarnation()) {
      return;
    }
    if (!response.registered()) {
      register();
      return;
    }
    ledger.onLease(Leases.untilMs(response, sentAtMs), response.floorMs());
    boolean draining = stopping || response.state() != MemberState.LIVE;
    if (draining != ledger.isDraining()) {
      setDraining(draining);
    }
  }

  private void setDraining(boolean draining) {
    ledger.setDraining(draining);
    LOG.infof("event=%s agent=%s", draining ? "draining" : "takingWork", node.nodeId());
    tellEntries();
  }

  private void register() {
    if (registering) {
      return;
    }
    registering = true;
    control
        .propose(
            new RegisterAgent(
                node.nodeId(),
                ledger.incarnation(),
                settings.listenAddress(),
                node.zone(),
                settings.service(),
                settings.slots(),
                settings.connections()))
        .thenAccept(result -> loop.add(() -> onRegistered(result)));
  }

  private void onRegistered(CommandResult result) {
    registering = false;
    heartbeatSentAtMs = 0;
    if (result instanceof MemberRefused refused) {
      long next = Leases.nextIncarnation(refused);
      ledger.renewIncarnation(next);
      LOG.infof("event=incarnationRenewed agent=%s incarnation=%d", node.nodeId(), next);
      tellEntries();
    }
  }

  private void tellEntries() {
    entries.values().forEach(c -> c.send(ledger.statusFor(c.id())));
  }

  private void carryOut(List<LedgerEffect> effects) {
    for (LedgerEffect effect : effects) {
      switch (effect) {
        case LedgerEffect.Send send -> {
          FrameConnection connection = entries.get(send.connectionId());
          if (connection != null) {
            connection.send(send.message());
          }
        }
        case LedgerEffect.Run run -> runners.execute(() -> run(run));
      }
    }
  }

  // Traffic threads.

  private void run(LedgerEffect.Run run) {
    BackendAnswer answer = backend.run(nameOf(run.key()), run.payload(), run.timeoutMs());
    loop.add(() -> onAnswer(run.key(), answer));
  }

  private static String nameOf(RunKey key) {
    return switch (key) {
      case RunKey.JobTask task -> task.jobId() + "/" + task.taskIndex();
      case RunKey.Request request -> "request";
    };
  }

  private void onAnswer(RunKey key, BackendAnswer answer) {
    switch (answer) {
      case BackendAnswer.Ended ended -> {
        metrics.countTask(ended.state().name());
        carryOut(ledger.onRunEnded(key, ended.state(), ended.result(), ended.ranMicros()));
      }
      case BackendAnswer.NotReached notReached -> {
        metrics.countTask("NOT_REACHED");
        carryOut(ledger.onBackendUnreachable(key));
      }
    }
  }

  private static boolean isFromEntry(Message message) {
    return switch (message) {
      case StartTask m -> true;
      case RevokeTask m -> true;
      case FenceJob m -> true;
      case RetireJobs m -> true;
      case RunRequest m -> true;
      case CreditDemand m -> true;
      case CreditReturn m -> true;
      default -> false;
    };
  }

  /** Takes what an entry sends; its first message says who it is. */
  private final class EntryHandler implements FrameHandler {
    private boolean greeted;

    @Override
    public void onMessage(FrameConnection connection, Message message) {
      if (!greeted && message instanceof Hello hello && isWelcome(hello)) {
        greeted = true;
        loop.add(() -> onConnected(connection));
      } else if (greeted && isFromEntry(message)) {
        loop.add(() -> carryOut(ledger.onMessage(connection.id(), message, InboxLoop.nowMs())));
      } else {
        metrics.countBadFrame();
        connection.close();
      }
    }

    private static boolean isWelcome(Hello hello) {
      return hello.role() == Role.ENTRY
          && hello.protocolVersion() == FrameConnection.PROTOCOL_VERSION;
    }

    private void onConnected(FrameConnection connection) {
      entries.put(connection.id(), connection);
      connection.send(ledger.statusFor(connection.id()));
    }

    @Override
    public void onClosed(FrameConnection connection) {
      loop.add(
          () -> {
            entries.remove(connection.id());
            carryOut(ledger.onDisconnected(connection.id()));
          });
    }
  }

  /** Goes once through the ways of a task, for {@code hingehoistd archive}. */
  public void rehearse() {
    BackendAnswer answer = backend.run("rehearsal", "", REHEARSAL_MS);
    LOG.infof("event=rehearsed answer=\"%s\"", answer);
    await(settled, REHEARSAL_MS);
  }

  /**
   * Stops as planned: takes no new work at once, waits until nothing runs and every job that used
   * this agent has its outcome, and takes its leave of the control replicas.
   *
   * @return whether everything was settled in time
   */
  public boolean stop() {
    loop.add(
        () -> {
          stopping = true;
          setDraining(true);
          heartbeatSentAtMs = 0;
        });
    boolean clean = await(settled, settings.stopTimeoutMs());
    if (clean) {
      CountDownLatch left = new CountDownLatch(1);
      control
          .propose(
              new ChangeAgentState(
                  node.nodeId(),
                  ledger.incarnation(),
                  MemberState.GONE,
                  "plannedStop",
                  node.nodeId()))
          .thenAccept(result -> left.countDown());
      await(left, LAST_WORD_MS);
    }
    LOG.infof("event=agentStopped agent=%s settled=%s", node.nodeId(), clean);
    close();
    return clean;
  }

  private static boolean await(CountDownLatch latch, long timeoutMs) {
    try {
      return latch.await(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public void close() {
    loop.close();
    server.close();
    control.close();
    runners.shutdownNow();
    try {
      backend.close();
    } catch (IOException e) {
      LOG.debugf("closing the backend client: %s", e.getMessage());
    }
  }
}
