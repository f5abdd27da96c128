package io.hingehoist.dispatch;

import static org.testng.Assert.assertEquals;

import io.hingehoist.command.AdmitJob;
import io.hingehoist.command.Admitted;
import io.hingehoist.command.ChangeAgentState;
import io.hingehoist.command.Command;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.CompleteJob;
import io.hingehoist.command.EndEntry;
import io.hingehoist.command.JobOutcome;
import io.hingehoist.command.OutcomeCommitted;
import io.hingehoist.command.OutcomeStatus;
import io.hingehoist.command.RegisterAgent;
import io.hingehoist.command.RegisterEntry;
import io.hingehoist.control.ControlState;
import io.hingehoist.message.AgentStatus;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.MemberState;
import io.hingehoist.message.MembersUpdate;
import io.hingehoist.message.Message;
import io.hingehoist.message.OwnedJob;
import io.hingehoist.message.TaskState;
import io.hingehoist.state.JobRow;
import io.hingehoist.worker.LedgerEffect;
import io.hingehoist.worker.RunKey;
import io.hingehoist.worker.TaskLedger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Simulates entries, agents and the applied log. The test decides the order of messages, the
 * passing of time, and the failures. Counts the starts at backend servers independently of the
 * tested code.
 */
final class DispatchSimulation {
  static final long LEASE_MS = 300;
  static final long MEMBER_TIMEOUT_MS = 500;
  static final int TASKS = 4;

  /** A proposal that is not applied yet. Its proposer may have ended when it is applied. */
  record Proposal(Command command, Consumer<CommandResult> answer) {}

  /** A connection. Messages arrive in order, or not at all after the connection has broken. */
  static final class Connection {
    final long id;
    final Deque<Message> toAgent = new ArrayDeque<>();
    final Deque<Message> toEntry = new ArrayDeque<>();

    /** Whether the network delays the messages of the entry. */
    boolean stalled;

    Connection(long id) {
      this.id = id;
    }
  }

  final class Entry {
    final String id;
    long incarnation;
    Dispatcher dispatcher;
    boolean frozen;
    boolean alive;
    long heartbeatAtMs;
    long membersVersion;
    final Map<String, Connection> connections = new TreeMap<>();
    final Map<String, Boolean> statusReceived = new HashMap<>();
    final Set<String> memberIds = new HashSet<>();

    Entry(String id) {
      this.id = id;
    }

    void start() {
      alive = true;
      frozen = false;
      incarnation = ++incarnations;
      dispatcher = Dispatcher.create("z", random);
      membersVersion = -1;
      connections.clear();
      apply(new RegisterEntry(id, incarnation, "", "z"));
      heartbeat();
    }

    void kill() {
      alive = false;
      agents.forEach(agent -> breakConnection(this, agent));
    }

    void heartbeat() {
      if (!state.isLiveEntry(id, incarnation)) {
        carryOut(dispatcher.onIncarnationEnded());
        incarnation = ++incarnations;
        apply(new RegisterEntry(id, incarnation, "", "z"));
      }
      heartbeatAtMs = nowMs;
      state
          .membersSince(membersVersion)
          .ifPresent(
              members -> {
                membersVersion = members.version();
                carryOut(dispatcher.onMembers(members.agents(), nowMs));
                closeNonMembers(members);
              });
      carryOut(dispatcher.onLease(nowMs + LEASE_MS, 0, nowMs));
      for (OwnedJob owned : state.jobsAdoptedBy(id, incarnation, dispatcher.ownedJobIds())) {
        JobRow row = state.job(owned.jobId()).orElseThrow();
        carryOut(dispatcher.onAdopted(spec(row, owned.epoch()), state.agentsLostSince(row), nowMs));
      }
    }

    /** Closes the connections to agents that are not members, as an entry does. */
    private void closeNonMembers(MembersUpdate members) {
      memberIds.clear();
      members.agents().forEach(info -> memberIds.add(info.agentId()));
      for (Agent agent : agents) {
        if (!memberIds.contains(agent.id)) {
          breakConnection(this, agent);
        }
      }
    }

    private JobSpec spec(JobRow row, long epoch) {
      return new JobSpec(
          row.jobId(), epoch, row.admittedAtMs(), "s", "c", "t", DEADLINE_MS, row.payloads());
    }

    void submit(String submissionId) {
      Dispatcher submitting = dispatcher;
      long submittingIncarnation = incarnation;
      List<String> payloads = new ArrayList<>();
      for (int i = 0; i < TASKS; i++) {
        payloads.add(submissionId + "/" + i);
      }
      AdmitJob admit =
          new AdmitJob(
              "c", submissionId, 1, Bytes.empty(), "s", "c", "t", 9_000, payloads, id, incarnation);
      proposals.add(
          new Proposal(
              admit,
              result -> {
                boolean sameProcess = alive && dispatcher == submitting;
                if (sameProcess
                    && incarnation == submittingIncarnation
                    && result instanceof Admitted admitted) {
                  JobRow row = state.job(admitted.jobId()).orElseThrow();
                  JobSpec spec =
                      new JobSpec(
                          row.jobId(), admitted.epoch(), 1, "s", "c", "t", DEADLINE_MS, payloads);
                  carryOut(dispatcher.onAdmitted(spec, nowMs));
                }
              }));
    }

    void carryOut(List<DispatchEffect> effects) {
      for (DispatchEffect effect : effects) {
        switch (effect) {
          case DispatchEffect.Send send -> {
            Connection connection = connections.get(send.agentId());
            if (connection != null) {
              connection.toAgent.add(send.message());
            }
          }
          case DispatchEffect.CommitOutcome commit -> commit(commit);
          case DispatchEffect.EndRequest end -> {}
        }
      }
    }

    private void commit(DispatchEffect.CommitOutcome commit) {
      Dispatcher committing = dispatcher;
      proposals.add(
          new Proposal(
              new CompleteJob(commit.jobId(), commit.epoch(), commit.outcome()),
              result -> {
                if (alive && dispatcher == committing) {
                  carryOut(
                      result instanceof OutcomeCommitted
                          ? dispatcher.onOutcomeCommitted(commit.jobId())
                          : dispatcher.onOutcomeStale(commit.jobId()));
                }
              }));
    }
  }

  final class Agent {
    final String id;
    TaskLedger ledger;
    boolean frozen;
    long heartbeatAtMs;
    final List<RunKey> running = new ArrayList<>();
    final Map<RunKey, String> payloads = new HashMap<>();

    Agent(String id) {
      this.id = id;
    }

    void start() {
      frozen = false;
      running.clear();
      ledger = TaskLedger.create(id, ++incarnations, 3);
      heartbeat();
    }

    /** Restarts the agent without its ledger. Its runs continue, but their results are lost. */
    void restart() {
      entries.forEach(entry -> breakConnection(entry, this));
      start();
    }

    void heartbeat() {
      if (!state.isCurrentAgent(id, ledger.incarnation())) {
        if (state.agent(id).isPresent()
            && state.agent(id).get().info().incarnation() >= ledger.incarnation()) {
          ledger.renewIncarnation(++incarnations);
        }
        apply(new RegisterAgent(id, ledger.incarnation(), "a", "z", "s", 3, 64));
        sendStatusToEntries();
      }
      heartbeatAtMs = nowMs;
      boolean hadLease = ledger.hasLease(nowMs);
      ledger.onLease(nowMs + LEASE_MS, 0);
      if (!hadLease) {
        sendStatusToEntries();
      }
    }

    private void sendStatusToEntries() {
      entries.forEach(
          entry -> {
            Connection connection = entry.connections.get(id);
            if (connection != null) {
              connection.toEntry.add(ledger.statusFor(connection.id));
            }
          });
    }

    void carryOut(List<LedgerEffect> effects) {
      for (LedgerEffect effect : effects) {
        switch (effect) {
          case LedgerEffect.Send send ->
              entries.forEach(
                  entry -> {
                    Connection connection = entry.connections.get(id);
                    if (connection != null && connection.id == send.connectionId()) {
                      connection.toEntry.add(send.message());
                    }
                  });
          case LedgerEffect.Run run -> {
            running.add(run.key());
            payloads.put(run.key(), run.payload());
            // For one run in twenty, the backend server accepts no connection, so nothing starts.
            if (random.nextInt(20) > 0) {
              startCounts.merge(run.payload(), 1, Integer::sum);
              assertEquals((int) startCounts.get(run.payload()), 1, "starts of " + run.payload());
            } else {
              payloads.remove(run.key());
            }
          }
        }
      }
    }

    void finishOneRun() {
      if (!running.isEmpty()) {
        RunKey key = running.remove(random.nextInt(running.size()));
        String payload = payloads.get(key);
        carryOut(
            payload == null
                ? ledger.onBackendUnreachable(key)
                : ledger.onRunEnded(key, TaskState.SUCCEEDED, "done " + payload, 1));
      }
    }
  }

  private static final long DEADLINE_MS = 1_000_000;

  final Random random;
  final ControlState state = ControlState.create();
  final List<Entry> entries = new ArrayList<>();
  final List<Agent> agents = new ArrayList<>();
  final List<Proposal> proposals = new ArrayList<>();
  final Map<String, Integer> startCounts = new HashMap<>();
  long nowMs = 1_000;
  private long index;
  private long incarnations;
  private long connectionIds;

  DispatchSimulation(long seed) {
    random = new Random(seed);
    for (int i = 0; i < 3; i++) {
      agents.add(new Agent("agent-" + i));
    }
    agents.forEach(Agent::start);
    for (int i = 0; i < 2; i++) {
      entries.add(new Entry("entry-" + i));
    }
    entries.forEach(Entry::start);
    entries.forEach(entry -> agents.forEach(agent -> connect(entry, agent)));
  }

  CommandResult apply(Command command) {
    return state.apply(new LogEntry(1, ++index, EntryKind.COMMAND, 1, command.toBytes()));
  }

  void applyOneProposal() {
    if (!proposals.isEmpty()) {
      Proposal proposal = proposals.remove(random.nextInt(proposals.size()));
      proposal.answer().accept(apply(proposal.command()));
    }
  }

  void connect(Entry entry, Agent agent) {
    boolean canConnect = entry.alive && !entry.frozen && !agent.frozen;
    if (canConnect
        && entry.memberIds.contains(agent.id)
        && !entry.connections.containsKey(agent.id)) {
      Connection connection = new Connection(++connectionIds);
      entry.connections.put(agent.id, connection);
      entry.statusReceived.put(agent.id, false);
      connection.toEntry.add(agent.ledger.statusFor(connection.id));
    }
  }

  void toggleStalled(Entry entry, Agent agent) {
    Connection connection = entry.connections.get(agent.id);
    if (connection != null) {
      connection.stalled = !connection.stalled;
    }
  }

  void breakConnection(Entry entry, Agent agent) {
    Connection connection = entry.connections.remove(agent.id);
    if (connection != null) {
      agent.carryOut(agent.ledger.onDisconnected(connection.id));
      if (entry.alive) {
        entry.carryOut(entry.dispatcher.onAgentDisconnected(agent.id, nowMs));
      }
    }
  }

  void deliver(Entry entry, Agent agent, boolean toAgent) {
    Connection connection = entry.connections.get(agent.id);
    if (connection == null) {
      return;
    }
    if (toAgent && !agent.frozen && !connection.stalled && !connection.toAgent.isEmpty()) {
      Message message = connection.toAgent.remove();
      agent.carryOut(agent.ledger.onMessage(connection.id, message, nowMs));
    }
    if (!toAgent && entry.alive && !entry.frozen && !connection.toEntry.isEmpty()) {
      receive(entry, agent, connection.toEntry.remove());
    }
  }

  private void receive(Entry entry, Agent agent, Message message) {
    if (message instanceof AgentStatus status) {
      boolean newConnection = !entry.statusReceived.put(agent.id, true);
      entry.carryOut(entry.dispatcher.onAgentStatus(status, newConnection, nowMs));
    } else {
      entry.carryOut(entry.dispatcher.onAgentMessage(agent.id, message, nowMs));
    }
  }

  /** Ends the members without a recent heartbeat, as the leader does. */
  void endSilentMembers() {
    for (Entry entry : entries) {
      boolean silent = nowMs - entry.heartbeatAtMs > MEMBER_TIMEOUT_MS;
      if (silent && state.isLiveEntry(entry.id, entry.incarnation)) {
        apply(new EndEntry(entry.id, entry.incarnation, "silent"));
      }
    }
    for (Agent agent : agents) {
      boolean silent = nowMs - agent.heartbeatAtMs > MEMBER_TIMEOUT_MS;
      long incarnation = agent.ledger.incarnation();
      if (silent && state.isCurrentAgent(agent.id, incarnation)) {
        apply(new ChangeAgentState(agent.id, incarnation, MemberState.GONE, "silent", "control"));
      }
    }
  }

  /** Runs the simulation without failures for long enough that every job ends. */
  void runWithoutFailures() {
    for (int round = 0; round < 400; round++) {
      nowMs += 10;
      for (Entry entry : entries) {
        if (!entry.alive) {
          entry.start();
        }
        entry.frozen = false;
      }
      agents.forEach(agent -> agent.frozen = false);
      entries.forEach(entry -> entry.connections.values().forEach(c -> c.stalled = false));
      entries.forEach(entry -> agents.forEach(agent -> connect(entry, agent)));
      agents.forEach(Agent::heartbeat);
      entries.forEach(Entry::heartbeat);
      while (!proposals.isEmpty()) {
        applyOneProposal();
      }
      for (int i = 0; i < 20; i++) {
        entries.forEach(e -> agents.forEach(a -> deliver(e, a, true)));
        entries.forEach(e -> agents.forEach(a -> deliver(e, a, false)));
      }
      agents.forEach(Agent::finishOneRun);
      entries.forEach(entry -> entry.carryOut(entry.dispatcher.onTick(nowMs)));
    }
  }

  /** Checks that a job has an outcome and, if complete, the results of all its tasks in order. */
  static void checkOutcome(JobRow row) {
    JobOutcome outcome = row.outcome().orElseThrow(() -> new AssertionError("no outcome: " + row));
    if (outcome.status() == OutcomeStatus.COMPLETE) {
      List<String> expected = new ArrayList<>();
      for (int i = 0; i < TASKS; i++) {
        expected.add("done " + row.submissionId() + "/" + i);
      }
      assertEquals(outcome.results(), expected);
    }
  }
}
