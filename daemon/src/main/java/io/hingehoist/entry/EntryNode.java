package io.hingehoist.entry;

import io.hingehoist.client.ControlClient;
import io.hingehoist.command.Command;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.EndEntry;
import io.hingehoist.command.GetReport;
import io.hingehoist.command.Report;
import io.hingehoist.dispatch.DispatchEffect;
import io.hingehoist.dispatch.Dispatcher;
import io.hingehoist.dispatch.RequestOutcome;
import io.hingehoist.dispatch.RequestSpec;
import io.hingehoist.loop.InboxLoop;
import io.hingehoist.loop.SleepDetector;
import io.hingehoist.message.AgentStatus;
import io.hingehoist.message.Hello;
import io.hingehoist.message.MembersUpdate;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnedJob;
import io.hingehoist.message.Role;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.settings.EntrySection;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.settings.ServicePolicy;
import io.hingehoist.settings.SettingsPath;
import io.hingehoist.settings.SettingsTree;
import io.hingehoist.wire.FrameConnection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * An entry: one dispatch thread to which all state is confined, and traffic threads for its
 * connections. Thread-safe: the returned futures may complete on any thread.
 */
public final class EntryNode implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(EntryNode.class);
  private static final long POLL_MS = 5;
  private static final int MAX_BATCH = 4_096;
  private static final long REPORT_TIMEOUT_MS = 3_000;
  private static final long SETTLE_POLL_MS = 20;

  /**
   * How long the health check fails before new work is refused, so that the load balancer can stop
   * sending callers first.
   */
  private static final long LOAD_BALANCER_GRACE_MS = 1_000;

  private final NodeSection node;
  private final EntrySection settings;
  private final Metrics metrics;
  private final ControlClient control;
  private final Dispatcher dispatcher;
  private final ControlSession session;
  private final AgentLinks links;
  private final JobManager jobs;
  private final Map<Long, CompletableFuture<Answer>> requests = new HashMap<>();
  private final InboxLoop<Runnable> loop;
  private long nextRequestId;
  private boolean hadLease;
  private final SleepDetector sleepDetector = SleepDetector.create();
  private volatile boolean ready;
  private volatile boolean stopRequested;
  private volatile boolean refusingNewWork;
  private volatile boolean settled;
  private volatile int waitingCount;
  private volatile int inFlightCount;
  private volatile int usableWorkers;
  private volatile SettingsTree settingsView = SettingsTree.empty();

  private EntryNode(
      NodeSection node,
      EntrySection settings,
      Metrics metrics,
      ThreadFactory threads,
      Consumer<Throwable> onFatalError) {
    this.node = node;
    this.settings = settings;
    this.metrics = metrics;
    Hello hello = new Hello(Role.ENTRY, node.nodeId(), 0, "", FrameConnection.PROTOCOL_VERSION);
    this.control =
        ControlClient.create(
            node.controlAddresses(), settings.httpAddress(), hello, metrics, threads);
    this.dispatcher = Dispatcher.create(node.zone(), new Random());
    this.loop = InboxLoop.create("dispatch", POLL_MS, MAX_BATCH, this::onBatch, onFatalError);
    this.links =
        new AgentLinks(
            settings.httpAddress(), hello, new AgentListener(), loop::add, metrics, threads);
    this.session =
        new ControlSession(
            node.nodeId(),
            settings.httpAddress(),
            node.zone(),
            control,
            loop::add,
            new SessionListener(),
            dispatcher::ownedJobIds);
    this.jobs =
        new JobManager(
            node.nodeId(), dispatcher, control, loop::add, this::carryOut, session::incarnation);
    addGauges();
  }

  /** Starts an entry. It accepts work once it holds a lease. */
  public static EntryNode start(
      NodeSection node,
      EntrySection settings,
      Metrics metrics,
      ThreadFactory threads,
      Consumer<Throwable> onFatalError) {
    EntryNode entry = new EntryNode(node, settings, metrics, threads, onFatalError);
    entry.loop.start();
    return entry;
  }

  static long nowMs() {
    return InboxLoop.nowMs();
  }

  private void addGauges() {
    metrics.addGauge("hingehoist_waiting_tasks", "Work held back here.", () -> waitingCount);
    metrics.addGauge("hingehoist_in_flight_tasks", "Work sent to agents.", () -> inFlightCount);
    metrics.addGauge(
        "hingehoist_usable_workers", "Workers that take work from here.", () -> usableWorkers);
    metrics.addGauge(
        "hingehoist_settings_revision",
        "Revision of the settings in force here.",
        () -> settingsView.revision());
  }

  // Methods called on the dispatch thread.

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
      LOG.infof("event=mayHaveSlept entry=%s ms=%d", node.nodeId(), sleptMs);
      dispatcher.dropLease();
      session.recordSleep();
    }
  }

  private void onTick(long now) {
    session.onTick(now);
    carryOut(dispatcher.onTick(now));
    boolean hasLease = dispatcher.hasLease(now);
    if (hasLease != hadLease) {
      hadLease = hasLease;
      LOG.infof("event=%s entry=%s", hasLease ? "leaseGained" : "leaseLost", node.nodeId());
    }
    ready = hasLease && !stopRequested;
    settled = dispatcher.isSettled() && jobs.isSettled() && requests.isEmpty();
    waitingCount = dispatcher.waitingCount();
    inFlightCount = dispatcher.inFlightCount();
    usableWorkers = dispatcher.usableWorkers(now);
  }

  private void carryOut(List<DispatchEffect> effects) {
    for (DispatchEffect effect : effects) {
      switch (effect) {
        case DispatchEffect.Send send -> links.send(send.agentId(), send.message());
        case DispatchEffect.CommitOutcome commit -> jobs.commit(commit);
        case DispatchEffect.EndRequest end -> endRequest(end.requestId(), end.outcome());
      }
    }
  }

  private void endRequest(long requestId, RequestOutcome outcome) {
    CompletableFuture<Answer> answer = requests.remove(requestId);
    if (answer != null) {
      answer.complete(Refusals.toAnswer(outcome));
    }
  }

  private final class AgentListener implements AgentLinks.Listener {
    @Override
    public void onStatus(AgentStatus status, boolean isNewConnection) {
      carryOut(dispatcher.onAgentStatus(status, isNewConnection, nowMs()));
    }

    @Override
    public void onMessage(String agentId, Message message) {
      carryOut(dispatcher.onAgentMessage(agentId, message, nowMs()));
    }

    @Override
    public void onDisconnected(String agentId) {
      carryOut(dispatcher.onAgentDisconnected(agentId, nowMs()));
    }
  }

  private final class SessionListener implements ControlSession.Listener {
    @Override
    public void onSettings(SettingsTree tree) {
      settingsView = tree;
      LOG.infof("event=settingsInForce entry=%s revision=%d", node.nodeId(), tree.revision());
      carryOut(dispatcher.onSettings(tree));
    }

    @Override
    public void onMembers(MembersUpdate members) {
      carryOut(dispatcher.onMembers(members.agents(), nowMs()));
      links.updateAgents(members.agents());
    }

    @Override
    public void onLease(long expiresAtMs, long floorMs) {
      carryOut(dispatcher.onLease(expiresAtMs, floorMs, nowMs()));
    }

    @Override
    public void onAdopted(OwnedJob job) {
      jobs.adopt(job);
    }

    @Override
    public void onIncarnationEnded() {
      carryOut(dispatcher.onIncarnationEnded());
      jobs.onIncarnationEnded();
    }
  }

  // Methods called on HTTP threads.

  /** Returns whether the load balancer should send callers to this entry. */
  public boolean isReady() {
    return ready;
  }

  /** Returns the revision of the settings in force in this process. */
  public long settingsRevision() {
    return settingsView.revision();
  }

  /** Returns the settings of this process. */
  public EntrySection settings() {
    return settings;
  }

  /** Returns the policy in force for a service and job class in the zone of this entry. */
  public ServicePolicy policyFor(String service, String jobClass) {
    return settingsView.policyAt(SettingsPath.of(service, jobClass, node.zone()));
  }

  /**
   * Submits a job.
   *
   * @param wait true to wait for the final answer, false to wait for the admission only
   */
  public CompletableFuture<Answer> submitJob(JobSubmission submission, boolean wait) {
    CompletableFuture<Answer> answer = new CompletableFuture<>();
    loop.add(
        () -> {
          LocalJob job = jobs.submit(submission, refusingNewWork, nowMs());
          (wait ? job.ended() : job.admitted()).thenAccept(answer::complete);
        });
    return answer;
  }

  /** Runs a repeatable request. */
  public CompletableFuture<Answer> runRequest(RequestSubmission submission) {
    CompletableFuture<Answer> answer = new CompletableFuture<>();
    loop.add(() -> startRequest(submission, answer));
    return answer;
  }

  private void startRequest(RequestSubmission submission, CompletableFuture<Answer> answer) {
    long now = nowMs();
    long deadlineMs = now + submission.deadlineAtMs() - System.currentTimeMillis();
    Optional<RequestOutcome.Refused> refusal =
        refusingNewWork
            ? Optional.of(Refusals.stopping())
            : dispatcher.refusalOf(submission.service(), submission.jobClass(), 1, deadlineMs, now);
    if (refusal.isPresent()) {
      answer.complete(Refusals.toAnswer(refusal.get()));
      return;
    }
    long requestId = ++nextRequestId;
    requests.put(requestId, answer);
    RequestSpec spec =
        new RequestSpec(
            requestId,
            submission.service(),
            submission.jobClass(),
            submission.team(),
            deadlineMs,
            submission.payload());
    carryOut(dispatcher.onRequest(spec, now));
  }

  /** Returns the state of a submission, after waiting up to {@code waitMs} for its outcome. */
  public CompletableFuture<Answer> findJob(String caller, String submissionId, long waitMs) {
    return jobs.find(caller, submissionId, waitMs);
  }

  /** Returns a report of the control replicas as JSON. */
  public CompletableFuture<String> report(String report, String argument) {
    return control
        .query(new GetReport(report, argument), REPORT_TIMEOUT_MS)
        .thenApply(answer -> ((Report) answer).json());
  }

  /** Proposes an operator's command, and retries until it is known to be applied. */
  public CompletableFuture<CommandResult> propose(Command command) {
    return control.propose(command);
  }

  /**
   * Performs a planned stop. It fails the health check, then refuses new work, then waits until
   * every caller has an answer, and hands the remaining jobs over to other entries.
   *
   * @return whether all work was settled before the timeout
   */
  public boolean stop() {
    stopRequested = true;
    ready = false;
    LOG.infof("event=entryLeaving entry=%s", node.nodeId());
    pauseMs(LOAD_BALANCER_GRACE_MS);
    refusingNewWork = true;
    long giveUpAtMs = nowMs() + settings.stopTimeoutMs();
    // "settled" is valid only after the dispatch thread has run a full iteration with
    // refusingNewWork set.
    pauseMs(4 * POLL_MS);
    while (!settled && nowMs() < giveUpAtMs) {
      pauseMs(SETTLE_POLL_MS);
    }
    boolean clean = settled;
    endIncarnation();
    LOG.infof("event=entryStopped entry=%s settled=%s", node.nodeId(), clean);
    return clean;
  }

  /**
   * Ends the incarnation of this entry. All jobs are abandoned first, because nothing may start
   * under an incarnation once the replicated log records its end.
   */
  private void endIncarnation() {
    CompletableFuture<Void> jobsAbandoned = new CompletableFuture<>();
    loop.add(
        () -> {
          session.end();
          carryOut(dispatcher.onIncarnationEnded());
          jobsAbandoned.complete(null);
        });
    jobsAbandoned.join();
    CompletableFuture<CommandResult> ended =
        control.propose(new EndEntry(node.nodeId(), session.incarnation(), "planned stop"));
    ended.completeOnTimeout(null, REPORT_TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
  }

  private static void pauseMs(long millis) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  @Override
  public void close() {
    loop.close();
    links.closeAll();
    control.close();
  }
}
