package io.hingehoist.run.owner;

import io.hingehoist.message.Message;
import io.hingehoist.run.Decision;
import java.util.ArrayList;
import java.util.List;

/** Gathers, in order, what an owner asks its surroundings to do. Owned by {@link JobOwner}. */
final class OwnerOutbox {
  private final List<OwnerEffect> effects = new ArrayList<>();

  void add(OwnerEffect effect) {
    effects.add(effect);
  }

  void send(String hostId, Message message) {
    effects.add(new OwnerEffect.SendToHost(hostId, message));
  }

  /** Writes a decision to the log; names that it is not about are empty. */
  void note(String event, String job, String task, String where, String outcome) {
    effects.add(new OwnerEffect.LogDecision(new Decision(event, job, task, where, outcome)));
  }

  /** Returns the effects since the last call. */
  List<OwnerEffect> take() {
    List<OwnerEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }
}
