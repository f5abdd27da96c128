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
 * An entry: one dispatch thread that owns all of its state, and traffic threads around it. The
 * public methods are thread-safe; their futures complete on any thread.
 */
public final class EntryNode implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(EntryNode.class);
  private static final long POLL_MS = 5;
  private static final int MAX_BATCH = 4_096;
  private static final long REPORT_TIMEOUT_MS = 3_000;
  private static final long SETTLE_POLL_MS = 20;

  /** How long the health check fails before new work is refused: the balancer has to notice. */
  private static final long BALANCER_GRACE_MS = 1_000;

  private final NodeSection node;
  private final EntrySection settings;
  private final Metrics metrics;
  private final ControlClient control;
  private final Dispatcher dispatcher;
  private final ControlSession session;
  private final AgentLinks links;
  private final JobDesk jobs;
  private final Map<Long, CompletableFuture<Answer>> requests = new HashMap<>();
  private final InboxLoop<Runnable> loop;
  private long nextRequestId;
  private boolean hadLease;
  private final SleepDetector sleepWatch = SleepDetector.create();
  private volatile boolean ready;
  private volatile boolean leaving;
  private volatile boolean refusing;
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
      Consumer<Throwable> fatal) {
    this.node = node;
    this.settings = settings;
    this.metrics = metrics;
    Hello hello = new Hello(Role.ENTRY, node.nodeId(), 0, "", FrameConnection.PROTOCOL_VERSION);
    this.control =
        ControlClient.create(
            node.controlAddresses(), settings.httpAddress(), hello, metrics, threads);
    this.dispatcher = Dispatcher.create(node.zone(), new Random());
    this.loop = InboxLoop.create("dispatch", POLL_MS, MAX_BATCH, this::onBatch, fatal);
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
        new JobDesk(
            node.nodeId(), dispatcher, control, loop::add, this::carryOut, session::incarnation);
    addGauges();
  }

  /** Starts an entry. It takes work once it has a lease. */
  public static EntryNode start(
      NodeSection node,
      EntrySection settings,
      Metrics metrics,
      ThreadFactory threads,
      Consumer<Throwable> fatal) {
    EntryNode entry = new EntryNode(node, settings, metrics, threads, fatal);
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

  // The dispatch thread.

  private void onBatch(List<Runnable> events, long nowMs) {
    checkSleep();
    events.forEach(Runnable::run);
    onTick(nowMs);
  }

  /** After a sleep only a heartbeat that was sent since brings a lease. */
  private void checkSleep() {
    long sleptMs = sleepWatch.sleptMs();
    if (sleptMs > 0) {
      LOG.infof("event=mayHaveSlept entry=%s ms=%d", node.nodeId(), sleptMs);
      dispatcher.dropLease();
      session.noteSleep();
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
    ready = hasLease && !leaving;
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
    public void onStatus(AgentStatus status, boolean opens) {
      carryOut(dispatcher.onAgentStatus(status, opens, nowMs()));
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
      links.follow(members.agents());
    }

    @Override
    public void onLease(long untilMs, long floorMs) {
      carryOut(dispatcher.onLease(untilMs, floorMs, nowMs()));
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

  // For the HTTP threads.

  /** Returns whether the balancer should send callers here. */
  public boolean isReady() {
    return ready;
  }

  /** Returns the revision of the settings in force here. */
  public long settingsRevision() {
    return settingsView.revision();
  }

  /** Returns the settings of this process. */
  public EntrySection settings() {
    return settings;
  }

  /** Returns the policy in force here for a service and job class. */
  public ServicePolicy policyFor(String service, String jobClass) {
    return settingsView.policyAt(SettingsPath.of(service, jobClass, node.zone()));
  }

  /**
   * Submits a job.
   *
   * @param wait whether to wait for the final answer, or only for the admission
   */
  public CompletableFuture<Answer> submitJob(JobSubmission submission, boolean wait) {
    CompletableFuture<Answer> answer = new CompletableFuture<>();
    loop.add(
        () -> {
          LocalJob job = jobs.submit(submission, refusing, nowMs());
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
        refusing
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

  /** Returns what is known of a submission, after waiting up to a time for its end. */
  public CompletableFuture<Answer> findJob(String caller, String submissionId, long waitMs) {
    return jobs.find(caller, submissionId, waitMs);
  }

  /** Returns a report of the control replicas, as JSON. */
  public CompletableFuture<String> report(String report, String argument) {
    return control
        .query(new GetReport(report, argument), REPORT_TIMEOUT_MS)
        .thenApply(answer -> ((Report) answer).json());
  }

  /** Proposes an operator's command until it is known to be applied. */
  public CompletableFuture<CommandResult> propose(Command command) {
    return control.propose(command);
  }

  /**
   * Stops as planned: fails the health check, then refuses new work, then waits until every caller
   * has an answer, and leaves what remains to other entries.
   *
   * @return whether everything was settled in time
   */
  public boolean stop() {
    leaving = true;
    ready = false;
    LOG.infof("event=entryLeaving entry=%s", node.nodeId());
    pauseMs(BALANCER_GRACE_MS);
    refusing = true;
    long giveUpAtMs = nowMs() + settings.stopTimeoutMs();
    // One whole turn of the dispatch thread must have seen the refusal before "settled" counts.
    pauseMs(4 * POLL_MS);
    while (!settled && nowMs() < giveUpAtMs) {
      pauseMs(SETTLE_POLL_MS);
    }
    boolean clean = settled;
    endIncarnation();
    LOG.infof("event=entryStopped entry=%s settled=%s", node.nodeId(), clean);
    return clean;
  }

  /** Nothing may start under this incarnation once the log says that it has ended. */
  private void endIncarnation() {
    CompletableFuture<Void> abandoned = new CompletableFuture<>();
    loop.add(
        () -> {
          session.end();
          carryOut(dispatcher.onIncarnationEnded());
          abandoned.complete(null);
        });
    abandoned.join();
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
