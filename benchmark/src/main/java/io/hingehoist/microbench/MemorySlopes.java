package io.hingehoist.microbench;

import io.hingehoist.command.AdmitJob;
import io.hingehoist.command.CompleteJob;
import io.hingehoist.command.JobOutcome;
import io.hingehoist.command.OutcomeStatus;
import io.hingehoist.command.RegisterAgent;
import io.hingehoist.command.RegisterEntry;
import io.hingehoist.control.ControlState;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.RetireJobs;
import io.hingehoist.message.StartTask;
import io.hingehoist.message.TaskState;
import io.hingehoist.worker.RunKey;
import io.hingehoist.worker.TaskLedger;
import java.lang.ref.Reference;
import java.util.List;
import java.util.function.Supplier;

/** Measures the memory per stored job or agent, by filling the heap with many of them. */
public final class MemorySlopes {
  private static final int JOBS = 100_000;
  private static final int AGENTS = 17_000;

  private MemorySlopes() {}

  /** Prints the number of bytes per object of each kind. */
  public static void main(String[] args) {
    print("control: remembered job of 5 tasks with its answer", JOBS, MemorySlopes::endedJobs);
    print("control: agent in the member table", AGENTS, MemorySlopes::agents);
    print("agent: remembered job with one started task, retired", JOBS, MemorySlopes::ledger);
    ControlState state = endedJobs();
    long startNanos = System.nanoTime();
    Bytes snapshot = state.toBytes();
    System.out.printf(
        "snapshot: %d bytes a remembered job, %.0f ms for %d jobs%n",
        snapshot.size() / JOBS, (System.nanoTime() - startNanos) / 1e6, JOBS);
  }

  private static void print(String label, int count, Supplier<Object> factory) {
    // Creates and drops one instance first, so that loaded classes and filled caches are not
    // counted.
    Object warmUp = factory.get();
    String name = warmUp.getClass().getSimpleName();
    warmUp = null;
    long before = usedBytes();
    Object filled = factory.get();
    long bytes = usedBytes() - before;
    Reference.reachabilityFence(filled);
    System.out.printf("%s: %d bytes (%s)%n", label, bytes / count, name);
  }

  private static long usedBytes() {
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static ControlState endedJobs() {
    ControlState state = ControlState.create();
    long index = 0;
    apply(state, ++index, new RegisterEntry("entry", 1, "", "z").toBytes());
    for (int i = 0; i < JOBS; i++) {
      List<String> payloads = List.of("ms=1 a", "ms=1 b", "ms=1 c", "ms=1 d", "ms=1 e");
      AdmitJob admit =
          new AdmitJob(
              "caller-" + i % 540,
              "submission-" + i,
              1,
              Bytes.copyOf(new byte[32]),
              "porting",
              "class",
              "team",
              9,
              payloads,
              "entry",
              1);
      long jobId = ++index;
      apply(state, jobId, admit.toBytes());
      List<String> results = List.of("done a", "done b", "done c", "done d", "done e");
      JobOutcome outcome = new JobOutcome(OutcomeStatus.COMPLETE, "", results);
      apply(state, ++index, new CompleteJob(jobId, 1, outcome).toBytes());
    }
    return state;
  }

  private static ControlState agents() {
    ControlState state = ControlState.create();
    for (int i = 0; i < AGENTS; i++) {
      RegisterAgent register =
          new RegisterAgent(
              "agent-" + i, 1, "10.0." + i / 250 + "." + i % 250 + ":7200", "z", "porting", 8, 64);
      apply(state, i + 1, register.toBytes());
    }
    return state;
  }

  private static TaskLedger ledger() {
    TaskLedger ledger = TaskLedger.create("agent", 1, 8);
    ledger.onLease(Long.MAX_VALUE, 0);
    for (long job = 0; job < JOBS; job++) {
      ledger.onMessage(1, new StartTask(job, 1, 0, 1, 1, 1, 1_000, "p"), 1);
      ledger.onRunEnded(new RunKey.JobTask(job, 0), TaskState.SUCCEEDED, "done", 1);
      ledger.onMessage(1, new RetireJobs(List.of(job)), 1);
    }
    return ledger;
  }

  private static void apply(ControlState state, long index, Bytes command) {
    state.apply(new LogEntry(1, index, EntryKind.COMMAND, 1, command));
  }
}
