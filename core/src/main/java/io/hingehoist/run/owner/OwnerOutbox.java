package io.hingehoist.run.owner;

import io.hingehoist.message.Message;
import io.hingehoist.run.Decision;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects, in order, the effects that an owner requests.
 *
 * <p>Not thread-safe: confined to the thread of its {@link JobOwner}.
 */
final class OwnerOutbox {
  private final List<OwnerEffect> effects = new ArrayList<>();

  void add(OwnerEffect effect) {
    effects.add(effect);
  }

  void send(String hostId, Message message) {
    effects.add(new OwnerEffect.SendToHost(hostId, message));
  }

  /** Logs a decision; arguments that do not apply are empty. */
  void logDecision(String event, String job, String task, String where, String outcome) {
    effects.add(new OwnerEffect.LogDecision(new Decision(event, job, task, where, outcome)));
  }

  /** Returns and removes the effects added since the last call. */
  List<OwnerEffect> drain() {
    List<OwnerEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }
}
