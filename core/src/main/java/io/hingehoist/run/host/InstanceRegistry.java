package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import io.hingehoist.run.RunTiming;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which lives of workers a host believes in, from what they say of themselves. Owned by {@link
 * WorkerHost}.
 */
final class InstanceRegistry {
  private final RunTiming timing;
  private final WorkerInstances instances;
  private final RunController runController;
  private final WorkerPoller poller;
  private final HostOutbox outbox;

  /** Lives that a heartbeat names at the address of another, until one answers or is not there. */
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

  /** Takes a worker's account of itself. */
  void heartbeat(WorkerInfo info, long nowMs) {
    Optional<WorkerInstance> known = instances.find(info.instanceId());
    if (instances.isOfFormerInstance(info)) {
      ignore(info.instanceId(), "it is of a life that is over, or tells no birth");
    } else if (known.isPresent()) {
      updateKnown(known.get(), info);
    } else if (instances.hasFormerInstance(info)) {
      restart(info, nowMs);
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

  /** A worker started again under its name: what it had of before is gone. */
  private void restart(WorkerInfo info, long nowMs) {
    WorkerInstance later = new WorkerInstance(info, timing, nowMs);
    Optional<WorkerInstance> former = instances.ofWorker(info.workerId());
    runController.raiseToken();
    register(later);
    former.ifPresent(instance -> runController.instanceRestarted(instance, later, nowMs));
    poller.poll(later, nowMs);
  }

  /**
   * A heartbeat may come late, when its sender has crashed and another life is at its address. So
   * one that names an address that is taken is believed only once that life answers a call.
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

  /** Takes an answer of a life; returns whether it was one that is not believed in yet. */
  boolean verificationCompleted(String instanceId, PollResult answer, long nowMs) {
    WorkerInstance candidate = unverified.remove(instanceId);
    if (candidate == null) {
      return false;
    }
    switch (answer) {
      case PollResult.Listed listed -> replaceWith(candidate, listed, nowMs);
      case PollResult.Fenced fenced -> replaceWith(candidate, fenced, nowMs);
      case PollResult.OtherInstance gone -> ignore(candidate.id(), "another life answers");
      case PollResult.ConnectionRefused nobody ->
          ignore(candidate.id(), "the connection is refused");
      case PollResult.Unanswered unanswered -> ignore(candidate.id(), "it does not answer");
    }
    return true;
  }

  private void replaceWith(WorkerInstance candidate, PollResult answer, long nowMs) {
    endInstancesAt(candidate.info().address(), nowMs);
    register(candidate);
    poller.pollCompleted(candidate, answer, nowMs);
  }

  private void endInstancesAt(String address, long nowMs) {
    for (WorkerInstance instance : instances.all()) {
      if (instance.info().address().equals(address)) {
        runController.endInstance(instance, "replaced", nowMs);
      }
    }
  }

  /** Notes that a worker takes its leave; what runs there is over when it stops answering. */
  void leaves(String workerId) {
    instances
        .ofWorker(workerId)
        .ifPresent(
            instance -> {
              instance.update(instance.info().asDraining());
              outbox.logDecision("workerLeaves", "", workerId, "");
            });
  }
}
