package io.hingehoist.dispatch;

import io.hingehoist.message.RunRefused;
import io.hingehoist.message.RunRequest;
import io.hingehoist.message.RunResponse;
import io.hingehoist.message.TaskState;
import io.hingehoist.placement.Worker;
import io.hingehoist.settings.ServicePolicy;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Dispatches the repeatable requests of this entry. They may run more than once, within a retry
 * budget, and no record of them is kept. Not thread-safe: confined to the dispatch thread.
 */
final class RequestDispatch {
  private record Hedge(long atMs, long requestId) {}

  private final Dispatcher dispatcher;
  private final Consumer<DispatchEffect> effects;
  private final Map<Long, RequestWork> requests = new LinkedHashMap<>();
  private final Map<String, RetryBudget> budgets = new LinkedHashMap<>();
  private final PriorityQueue<Hedge> hedges =
      new PriorityQueue<>(Comparator.comparingLong(Hedge::atMs));

  RequestDispatch(Dispatcher dispatcher, Consumer<DispatchEffect> effects) {
    this.dispatcher = dispatcher;
    this.effects = effects;
  }

  int openCount() {
    return requests.size();
  }

  void accept(RequestSpec spec, long sequence) {
    RequestWork work = new RequestWork(sequence, spec);
    requests.put(spec.requestId(), work);
    dispatcher.enqueue(work);
  }

  /** Sends a request to a worker. */
  void start(RequestWork work, Worker<Work> worker, long nowMs) {
    ServicePolicy policy = dispatcher.policyOf(work);
    boolean firstAttempt = !work.mayHaveRun();
    work.recordSent(worker.agentId());
    long timeoutMs = Math.max(1, Math.min(policy.taskTimeoutMs(), work.deadlineMs() - nowMs));
    RequestSpec spec = work.spec();
    RunRequest run = new RunRequest(spec.requestId(), timeoutMs, spec.payload());
    effects.accept(new DispatchEffect.Send(worker.agentId(), run));
    if (firstAttempt) {
      budget(work).recordFirstAttempt(policy.retryBudgetPercent());
    }
    if (policy.hedgeAfterMs() > 0 && !work.isHedged()) {
      hedges.add(new Hedge(nowMs + policy.hedgeAfterMs(), spec.requestId()));
    }
  }

  private RetryBudget budget(RequestWork work) {
    return budgets.computeIfAbsent(work.service(), service -> new RetryBudget());
  }

  private boolean tryAcquireRetry(RequestWork work) {
    return budget(work).tryAcquireRetry(dispatcher.policyOf(work).retryBudgetPercent());
  }

  void onRefused(String agentId, RunRefused message) {
    RequestWork work = requests.get(message.requestId());
    if (work == null) {
      dispatcher.releaseRequestSlot(agentId, message.requestId());
      return;
    }
    dispatcher.recordEnded(agentId, work);
    // The request certainly did not run, so another attempt causes no extra load on the backend
    // servers and is not charged to the retry budget.
    if (work.recordNotRun(agentId) && work.isOpen()) {
      work.markWaiting();
      dispatcher.enqueue(work);
    }
  }

  void onResponse(String agentId, RunResponse message) {
    RequestWork work = requests.get(message.requestId());
    if (work == null) {
      dispatcher.releaseRequestSlot(agentId, message.requestId());
      return;
    }
    dispatcher.recordEnded(agentId, work);
    dispatcher.recordServiceTime(agentId, work, message.ranMicros());
    if (message.state() == TaskState.SUCCEEDED) {
      end(work, new RequestOutcome.Complete(message.result()));
      return;
    }
    onAttemptLost(agentId, work, message.result());
  }

  /** Retries, within the budget, the requests that an unreachable agent may have run. */
  void onAgentLost(String agentId, List<Work> inFlight) {
    for (Work work : inFlight) {
      if (work instanceof RequestWork request && request.isOpen()) {
        onAttemptLost(agentId, request, "the connection to agent " + agentId + " was lost");
      }
    }
  }

  private void onAttemptLost(String agentId, RequestWork work, String reason) {
    boolean noneInFlight = work.recordLost(agentId);
    if (!noneInFlight) {
      return;
    }
    if (tryAcquireRetry(work)) {
      work.markWaiting();
      dispatcher.enqueue(work);
    } else {
      end(work, new RequestOutcome.Failed(reason));
    }
  }

  /** Hedges the requests that have been in flight for too long. */
  void onTick(long nowMs) {
    while (!hedges.isEmpty() && hedges.peek().atMs() <= nowMs) {
      RequestWork work = requests.get(hedges.remove().requestId());
      boolean inFlight = work != null && !work.isWaiting() && !work.isHedged();
      if (inFlight && tryAcquireRetry(work)) {
        work.markHedged();
        dispatcher.enqueue(work);
      }
    }
  }

  void onDeadline(long requestId) {
    RequestWork work = requests.get(requestId);
    if (work == null) {
      return;
    }
    if (work.mayHaveRun()) {
      end(work, new RequestOutcome.Failed("the deadline passed"));
    } else {
      long retryAfterMs = dispatcher.retryAfterMs(work.service());
      end(
          work,
          new RequestOutcome.Refused(
              RefusalCause.DEADLINE, "the deadline passed before a slot was free", retryAfterMs));
    }
  }

  private void end(RequestWork work, RequestOutcome outcome) {
    work.close();
    requests.remove(work.spec().requestId());
    effects.accept(new DispatchEffect.EndRequest(work.spec().requestId(), outcome));
  }
}
