package io.hingehoist.agent;

import io.hingehoist.client.ControlClient;
import io.hingehoist.client.Leases;
import io.hingehoist.command.ChangeAgentState;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.MemberRefused;
import io.hingehoist.command.RegisterAgent;
import io.hingehoist.limits.ConnectionLimits;
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
 * An agent: one control thread to which the {@link TaskLedger} is confined, and traffic threads for
 * connections to entries, the control replicas and the backend server.
 */
public final class AgentNode implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(AgentNode.class);
  private static final int MAX_QUEUED_FRAMES = 4_096;
  private static final long HEARTBEAT_INTERVAL_MS = 500;
  private static final long POLL_MS = 50;
  private static final int MAX_BATCH = 64;
  private static final long DEREGISTRATION_TIMEOUT_MS = 2_000;
  private static final long WARM_UP_TIMEOUT_MS = 2_000;

  private final NodeSection node;
  private final AgentSection settings;
  private final Metrics metrics;
  private final TaskLedger ledger;
  private final BackendClient backend;
  private final ControlClient control;
  private final FrameServer server;
  private final ExecutorService taskExecutor;
  private final Map<Long, FrameConnection> entries = new HashMap<>();
  private final CountDownLatch settled = new CountDownLatch(1);
  private final InboxLoop<Runnable> loop;
  private long heartbeatSentAtMs;
  private boolean heartbeatPending;
  private boolean registrationPending;
  private boolean hadLease;
  private boolean stopping;
  private final SleepDetector sleepDetector = SleepDetector.create();
  private long sleepCount;

  private AgentNode(
      NodeSection node,
      AgentSection settings,
      ConnectionLimits peerLimits,
      Metrics metrics,
      ThreadFactory threads,
      Consumer<Throwable> onFatalError)
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
    this.taskExecutor = Executors.newFixedThreadPool(settings.slots(), threads);
    this.loop = InboxLoop.create("ledger", POLL_MS, MAX_BATCH, this::onBatch, onFatalError);
    this.server =
        FrameServer.open(
            Addresses.firstNonEmpty(settings.bindAddress(), settings.listenAddress()),
            EntryHandler::new,
            metrics,
            threads,
            MAX_QUEUED_FRAMES,
            peerLimits);
  }

  /**
   * Starts an agent. It accepts work once the control replicas have granted it a lease.
   *
   * @param peerLimits the limits on the connections that other processes open
   */
  public static AgentNode start(
      NodeSection node,
      AgentSection settings,
      ConnectionLimits peerLimits,
      Metrics metrics,
      ThreadFactory threads,
      Consumer<Throwable> onFatalError)
      throws IOException {
    AgentNode agent = new AgentNode(node, settings, peerLimits, metrics, threads, onFatalError);
    agent.loop.start();
    LOG.infof(
        "event=agentStarted agent=%s incarnation=%d", node.nodeId(), agent.ledger.incarnation());
    return agent;
  }

  // Methods called on the control thread.

  private void onBatch(List<Runnable> events, long nowMs) {
    checkSleep();
    events.forEach(Runnable::run);
    onTick(nowMs);
  }

  /**
   * Drops the lease if this box may have been asleep. Only the response to a heartbeat that is sent
   * afterwards can renew it.
   */
  private void checkSleep() {
    long sleptMs = sleepDetector.sleptMs();
    if (sleptMs > 0) {
      LOG.infof("event=mayHaveSlept agent=%s ms=%d", node.nodeId(), sleptMs);
      ledger.dropLease();
      sleepCount++;
      heartbeatSentAtMs = 0;
    }
  }

  private void onTick(long now) {
    if (!heartbeatPending && now - heartbeatSentAtMs >= HEARTBEAT_INTERVAL_MS) {
      sendHeartbeat(now);
    }
    boolean hasLease = ledger.hasLease(now);
    if (hasLease != hadLease) {
      hadLease = hasLease;
      LOG.infof("event=%s agent=%s", hasLease ? "leaseGained" : "leaseLost", node.nodeId());
      if (hasLease) {
        sendStatusToEntries();
      }
    }
    if (stopping && ledger.isSettled()) {
      settled.countDown();
    }
  }

  private void sendHeartbeat(long now) {
    heartbeatSentAtMs = now;
    heartbeatPending = true;
    long incarnation = ledger.incarnation();
    long sleepCountAtSend = sleepCount;
    control
        .heartbeat(
            id ->
                new HeartbeatRequest(
                    id, Role.AGENT, node.nodeId(), incarnation, stopping, 0, 0, List.of()))
        .whenComplete(
            (response, failure) ->
                loop.add(
                    () -> {
                      heartbeatPending = false;
                      if (response != null && sleepCount == sleepCountAtSend) {
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
    ledger.onLease(Leases.expiresAtMs(response, sentAtMs), response.floorMs());
    boolean draining = stopping || response.state() != MemberState.LIVE;
    if (draining != ledger.isDraining()) {
      setDraining(draining);
    }
  }

  private void setDraining(boolean draining) {
    ledger.setDraining(draining);
    LOG.infof("event=%s agent=%s", draining ? "draining" : "takingWork", node.nodeId());
    sendStatusToEntries();
  }

  private void register() {
    if (registrationPending) {
      return;
    }
    registrationPending = true;
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
    registrationPending = false;
    heartbeatSentAtMs = 0;
    if (result instanceof MemberRefused refused) {
      long next = Leases.nextIncarnation(refused);
      ledger.renewIncarnation(next);
      LOG.infof("event=incarnationRenewed agent=%s incarnation=%d", node.nodeId(), next);
      sendStatusToEntries();
    }
  }

  private void sendStatusToEntries() {
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
        case LedgerEffect.Run run -> taskExecutor.execute(() -> run(run));
      }
    }
  }

  // Methods called on traffic threads.

  private void run(LedgerEffect.Run run) {
    BackendResult result = backend.run(taskNameOf(run.key()), run.payload(), run.timeoutMs());
    loop.add(() -> onBackendResult(run.key(), result));
  }

  private static String taskNameOf(RunKey key) {
    return switch (key) {
      case RunKey.JobTask task -> task.jobId() + "/" + task.taskIndex();
      case RunKey.Request request -> "request";
    };
  }

  private void onBackendResult(RunKey key, BackendResult result) {
    switch (result) {
      case BackendResult.Ended ended -> {
        metrics.countTask(ended.state().name());
        carryOut(ledger.onRunEnded(key, ended.state(), ended.result(), ended.ranMicros()));
      }
      case BackendResult.NotReached notReached -> {
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

  /** Handles messages from an entry. The first message on a connection must be a {@link Hello}. */
  private final class EntryHandler implements FrameHandler {
    private boolean helloReceived;

    @Override
    public void onMessage(FrameConnection connection, Message message) {
      if (!helloReceived && message instanceof Hello hello && isValidHello(hello)) {
        helloReceived = true;
        loop.add(() -> onConnected(connection));
      } else if (helloReceived && isFromEntry(message)) {
        loop.add(() -> carryOut(ledger.onMessage(connection.id(), message, InboxLoop.nowMs())));
      } else {
        metrics.countBadFrame();
        connection.close();
      }
    }

    private static boolean isValidHello(Hello hello) {
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

  /**
   * Runs the code paths of a task once, so that their classes are loaded for {@code hingehoistd
   * archive}.
   */
  public void warmUp() {
    BackendResult result = backend.run("rehearsal", "", WARM_UP_TIMEOUT_MS);
    LOG.infof("event=rehearsed answer=\"%s\"", result);
    await(settled, WARM_UP_TIMEOUT_MS);
  }

  /**
   * Performs a planned stop. It refuses new work at once, waits until nothing runs and every job
   * that used this agent has its outcome, and deregisters from the control replicas.
   *
   * @return whether all of this work was settled before the timeout
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
      CountDownLatch deregistered = new CountDownLatch(1);
      control
          .propose(
              new ChangeAgentState(
                  node.nodeId(),
                  ledger.incarnation(),
                  MemberState.GONE,
                  "plannedStop",
                  node.nodeId()))
          .thenAccept(result -> deregistered.countDown());
      await(deregistered, DEREGISTRATION_TIMEOUT_MS);
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
    taskExecutor.shutdownNow();
    try {
      backend.close();
    } catch (IOException e) {
      LOG.debugf("failed to close the backend client: %s", e.getMessage());
    }
  }
}
