package io.hingehoist.run.owner;

import io.hingehoist.message.RunRef;
import io.hingehoist.message.StartRuns;
import io.hingehoist.run.JobPlan;
import io.hingehoist.run.StepPlan;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Collects the runs that one placement pass orders, and combines the runs of one step on one worker
 * into one order. Not thread-safe: confined to the thread of its {@link JobOwner}.
 */
final class OrderBatch {
  private record Key(String workerId, OwnedJob job, int step) {

    // The generated methods of a record are linked at their first call. That takes 15 ms in an
    // owner that has just started, while its first jobs wait.

    @Override
    public boolean equals(Object other) {
      return other instanceof Key that
          && workerId.equals(that.workerId)
          && job == that.job
          && step == that.step;
    }

    @Override
    public int hashCode() {
      return 31 * (31 * workerId.hashCode() + Long.hashCode(job.arrivalNumber())) + step;
    }
  }

  private static final class Group {
    private final HostView host;
    private final long order;
    private final List<RunRef> runs = new ArrayList<>();

    private Group(HostView host, long order) {
      this.host = host;
      this.order = order;
    }
  }

  private final Map<Key, Group> groups = new LinkedHashMap<>();

  /** Adds the current run of a task and returns the number of the order that carries it. */
  long add(OwnedTask task, HostView host) {
    Key key = new Key(task.workerId(), task.job(), task.step());
    Group group = groups.computeIfAbsent(key, k -> new Group(host, host.nextOrderNumber()));
    group.runs.add(task.run());
    return group.order;
  }

  /** Passes each order to a consumer, with the id of its host. */
  void emit(BiConsumer<String, StartRuns> out) {
    groups.forEach((key, group) -> out.accept(group.host.hostId, toOrder(key, group)));
  }

  private static StartRuns toOrder(Key key, Group group) {
    JobPlan job = key.job().plan();
    StepPlan step = job.steps().get(key.step());
    return new StartRuns(
        group.order,
        key.workerId(),
        job.jobId(),
        job.spec(),
        step.estimateMs(),
        step.need(),
        group.runs);
  }
}
