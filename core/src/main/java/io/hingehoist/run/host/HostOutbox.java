package io.hingehoist.run.host;

import io.hingehoist.message.Message;
import io.hingehoist.run.Decision;
import io.hingehoist.run.TaskNames;
import java.util.ArrayList;
import java.util.List;

/** Gathers, in order, what a host asks its surroundings to do. Owned by {@link WorkerHost}. */
final class HostOutbox {
  private final OwnerSessions sessions;
  private final List<HostEffect> effects = new ArrayList<>();

  HostOutbox(OwnerSessions sessions) {
    this.sessions = sessions;
  }

  void add(HostEffect effect) {
    effects.add(effect);
  }

  /** Sends a message to the owner of a session, if the session is open. */
  void send(long sessionId, Message message) {
    if (sessions.isOpen(sessionId)) {
      effects.add(new HostEffect.SendToOwner(sessionId, message));
    }
  }

  /** Sends a message to every owner with an open session. */
  void sendToAll(Message message) {
    sessions.all().forEach(session -> send(session.id, message));
  }

  /**
   * Writes a decision to the log.
   *
   * @param task the task that it is about; empty if it is about none
   * @param where the worker, owner or process that it is about
   */
  void logDecision(String event, String task, String where, String outcome) {
    String job = task.isEmpty() ? "" : TaskNames.jobIdOf(task);
    effects.add(new HostEffect.LogDecision(new Decision(event, job, task, where, outcome)));
  }

  /** Returns the effects since the last call. */
  List<HostEffect> drain() {
    List<HostEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }
}
