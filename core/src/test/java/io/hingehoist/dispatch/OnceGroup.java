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
 * Entries, agents and one applied log, with messages, time and failures played by a test in any
 * order. It counts every start at a backend server by itself.
 */
final class OnceGroup {
  static final long LEASE_MS = 300;
  static final long MEMBER_TIMEOUT_MS = 500;
  static final int TASKS = 4;

  /** A proposal on its way to the log; the proposer may be gone when it is applied. */
  record Proposal(Command command, Consumer<CommandResult> answer) {}

  /** A connection: messages arrive in order, or not at all once it is broken. */
  static final class Connection {
    final long id;
    final Deque<Message> toAgent = new ArrayDeque<>();
    final Deque<Message> toEntry = new ArrayDeque<>();

    /** Whether the network holds back what the entry sent, to deliver it late. */
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
    long heardAtMs;
    long membersVersion;
    final Map<String, Connection> connections = new TreeMap<>();
    final Map<String, Boolean> opened = new HashMap<>();
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
      heardAtMs = nowMs;
      state
          .membersSince(membersVersion)
          .ifPresent(
              members -> {
                membersVersion = members.version();
                carryOut(dispatcher.onMembers(members.agents(), nowMs));
                closeOthers(members);
              });
      carryOut(dispatcher.onLease(nowMs + LEASE_MS, 0, nowMs));
      for (OwnedJob owned : state.jobsAdoptedBy(id, incarnation, dispatcher.ownedJobIds())) {
        JobRow row = state.job(owned.jobId()).orElseThrow();
        carryOut(dispatcher.onAdopted(spec(row, owned.epoch()), state.agentsLostSince(row), nowMs));
      }
    }

    /** Closes the connections to agents that are no members, as an entry does. */
    private void closeOthers(MembersUpdate members) {
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
                boolean mine = alive && dispatcher == submitting;
                if (mine
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
    long heardAtMs;
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

    /** Loses all that the agent knew. What it started goes on at the backend server, unheard. */
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
        tellEntries();
      }
      heardAtMs = nowMs;
      boolean hadLease = ledger.hasLease(nowMs);
      ledger.onLease(nowMs + LEASE_MS, 0);
      if (!hadLease) {
        tellEntries();
      }
    }

    private void tellEntries() {
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
            // One backend server in twenty takes no connection, so nothing starts there.
            if (random.nextInt(20) > 0) {
              starts.merge(run.payload(), 1, Integer::sum);
              assertEquals((int) starts.get(run.payload()), 1, "started: " + run.payload());
            } else {
              payloads.remove(run.key());
            }
          }
        }
      }
    }

    void finishOne() {
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
  final Map<String, Integer> starts = new HashMap<>();
  long nowMs = 1_000;
  private long index;
  private long incarnations;
  private long connectionIds;

  OnceGroup(long seed) {
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
    boolean able = entry.alive && !entry.frozen && !agent.frozen;
    if (able && entry.memberIds.contains(agent.id) && !entry.connections.containsKey(agent.id)) {
      Connection connection = new Connection(++connectionIds);
      entry.connections.put(agent.id, connection);
      entry.opened.put(agent.id, false);
      connection.toEntry.add(agent.ledger.statusFor(connection.id));
    }
  }

  void stallOrRelease(Entry entry, Agent agent) {
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

  void deliver(Entry entry, Agent agent, boolean forward) {
    Connection connection = entry.connections.get(agent.id);
    if (connection == null) {
      return;
    }
    if (forward && !agent.frozen && !connection.stalled && !connection.toAgent.isEmpty()) {
      Message message = connection.toAgent.remove();
      agent.carryOut(agent.ledger.onMessage(connection.id, message, nowMs));
    }
    if (!forward && entry.alive && !entry.frozen && !connection.toEntry.isEmpty()) {
      receive(entry, agent, connection.toEntry.remove());
    }
  }

  private void receive(Entry entry, Agent agent, Message message) {
    if (message instanceof AgentStatus status) {
      boolean opens = !entry.opened.put(agent.id, true);
      entry.carryOut(entry.dispatcher.onAgentStatus(status, opens, nowMs));
    } else {
      entry.carryOut(entry.dispatcher.onAgentMessage(agent.id, message, nowMs));
    }
  }

  /** Does what the leader does about members that it does not hear. */
  void endSilentMembers() {
    for (Entry entry : entries) {
      boolean silent = nowMs - entry.heardAtMs > MEMBER_TIMEOUT_MS;
      if (silent && state.isLiveEntry(entry.id, entry.incarnation)) {
        apply(new EndEntry(entry.id, entry.incarnation, "silent"));
      }
    }
    for (Agent agent : agents) {
      boolean silent = nowMs - agent.heardAtMs > MEMBER_TIMEOUT_MS;
      long incarnation = agent.ledger.incarnation();
      if (silent && state.isCurrentAgent(agent.id, incarnation)) {
        apply(new ChangeAgentState(agent.id, incarnation, MemberState.GONE, "silent", "control"));
      }
    }
  }

  /** Lets everything work without failure until nothing is left to do. */
  void calmDown() {
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
      agents.forEach(Agent::finishOne);
      entries.forEach(entry -> entry.carryOut(entry.dispatcher.onTick(nowMs)));
    }
  }

  /** Checks that a complete job has the result of each of its tasks, in order. */
  static void checkWhole(JobRow row) {
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
