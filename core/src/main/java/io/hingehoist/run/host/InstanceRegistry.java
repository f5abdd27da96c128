package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import io.hingehoist.run.RunTiming;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides from the heartbeats of workers which worker instances the host knows. Not thread-safe:
 * confined to the event-loop thread.
 */
final class InstanceRegistry {
  private final RunTiming timing;
  private final WorkerInstances instances;
  private final RunController runController;
  private final WorkerPoller poller;
  private final HostOutbox outbox;

  /**
   * Instances reported by a heartbeat at the address of a known instance, until a poll shows which
   * of them exists.
   */
  private final Map<String, WorkerInstance> unverified = new LinkedHashMap<>();

  InstanceRegistry(
      RunTiming timing,
      WorkerInstances instances,
      RunController runController,
      WorkerPoller poller,
      HostOutbox outbox) {
    this.timing = timing;
    this.instances = instances;
    this.runController = runController;
    this.poller = poller;
    this.outbox = outbox;
  }

  /** Handles a heartbeat of a worker. */
  void heartbeat(WorkerInfo info, long nowMs) {
    Optional<WorkerInstance> known = instances.find(info.instanceId());
    if (instances.isFromFormerInstance(info)) {
      ignore(info.instanceId(), "it is of a former instance or has no start time");
    } else if (known.isPresent()) {
      updateKnown(known.get(), info);
    } else if (instances.hasFormerInstance(info)) {
      handleRestart(info, nowMs);
    } else {
      addOrVerify(new WorkerInstance(info, timing, nowMs), nowMs);
    }
  }

  private void updateKnown(WorkerInstance known, WorkerInfo info) {
    if (!known.hasSameEndpoint(info)) {
      ignore(info.instanceId(), "it names another service or address");
      return;
    }
    Room before = known.info().capacity();
    if (known.update(info)) {
      outbox.logDecision("workerDraining", "", info.instanceId(), "version=" + info.version());
    }
    if (!known.info().capacity().equals(before)) {
      String outcome = "before=%s now=%s".formatted(before, known.info().capacity());
      outbox.logDecision("workerRoomChanged", "", info.instanceId(), outcome);
    }
  }

  /**
   * Handles the first heartbeat of a worker that restarted under the same name and lost its state.
   */
  private void handleRestart(WorkerInfo info, long nowMs) {
    WorkerInstance restarted = new WorkerInstance(info, timing, nowMs);
    Optional<WorkerInstance> former = instances.ofWorker(info.workerId());
    runController.raiseToken();
    register(restarted);
    former.ifPresent(instance -> runController.instanceRestarted(instance, restarted, nowMs));
    poller.poll(restarted, nowMs);
  }

  /**
   * Adds an instance, or verifies it first if its address belongs to a known one. A heartbeat may
   * arrive after its sender has crashed and another instance has taken over the address, so it
   * counts only once the instance it names responds to a poll.
   */
  private void addOrVerify(WorkerInstance instance, long nowMs) {
    if (!instances.hasAddress(instance.info().address())) {
      register(instance);
      poller.poll(instance, nowMs);
    } else if (unverified.putIfAbsent(instance.id(), instance) == null) {
      poller.poll(instance, nowMs);
    }
  }

  private void register(WorkerInstance instance) {
    instances.add(instance);
    outbox.logDecision("workerFound", "", instance.id(), "service=" + instance.info().service());
  }

  private void ignore(String workerId, String reason) {
    outbox.logDecision("heartbeatIgnored", "", workerId, reason);
  }

  /** Handles the result of a poll; returns whether it was one that verifies an instance. */
  boolean completeVerification(String instanceId, PollResult result, long nowMs) {
    WorkerInstance candidate = unverified.remove(instanceId);
    if (candidate == null) {
      return false;
    }
    switch (result) {
      case PollResult.Listed listed -> replaceWith(candidate, listed, nowMs);
      case PollResult.Fenced fenced -> verifyAgain(candidate, nowMs);
      case PollResult.OtherInstance other -> ignore(candidate.id(), "another instance responds");
      case PollResult.ConnectionRefused refused ->
          ignore(candidate.id(), "the connection was refused");
      case PollResult.Unanswered unanswered -> ignore(candidate.id(), "the poll was not answered");
    }
    return true;
  }

  /** Polls with a higher token: a worker may check the token before the instance. */
  private void verifyAgain(WorkerInstance candidate, long nowMs) {
    runController.raiseToken();
    candidate.pollPending = false;
    unverified.put(candidate.id(), candidate);
    poller.poll(candidate, nowMs);
  }

  private void replaceWith(WorkerInstance candidate, PollResult.Listed listed, long nowMs) {
    endInstancesAt(candidate.info().address(), nowMs);
    register(candidate);
    poller.pollCompleted(candidate, listed, nowMs);
  }

  private void endInstancesAt(String address, long nowMs) {
    for (WorkerInstance instance : instances.all()) {
      if (instance.info().address().equals(address)) {
        runController.endInstance(instance, "replaced", EndEvidence.OTHER_INSTANCE, nowMs);
      }
    }
  }

  /** Marks a worker as leaving. Its runs are over once it stops responding. */
  void workerLeaves(String workerId) {
    instances
        .ofWorker(workerId)
        .ifPresent(
            instance -> {
              instance.update(instance.info().asDraining());
              outbox.logDecision("workerLeaves", "", workerId, "");
            });
  }
}
