package io.hingehoist.worker;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Splits the slots of a worker among the entries that place by credit.
 *
 * <p>A slot is running, held as a credit by one entry, or free. An entry with a credit may start a
 * task without asking. Owned by its {@link TaskLedger}.
 */
final class CreditLedger {
  private static final class Holder {
    private int credits;
    private int running;
    private boolean subscribed;
    private boolean waiting;
    private boolean recalled;

    private int share() {
      return credits + running;
    }
  }

  private final int slots;
  private final Map<Long, Holder> holders = new LinkedHashMap<>();
  private int running;

  CreditLedger(int slots) {
    this.slots = slots;
  }

  int slots() {
    return slots;
  }

  /** Returns the slots that neither run a task nor are promised to an entry. */
  int freeSlots() {
    int held = holders.values().stream().mapToInt(holder -> holder.credits).sum();
    return slots - running - held;
  }

  int running() {
    return running;
  }

  /**
   * Notes whether an entry holds work back; the first note makes it a holder of credits.
   *
   * @param waiting the pieces that wait; below 0 where the entry no longer places by credit
   */
  void noteDemand(long connectionId, int waiting) {
    Holder holder = holder(connectionId);
    holder.subscribed = waiting >= 0;
    holder.waiting = waiting > 0;
    if (!holder.subscribed) {
      holder.credits = 0;
    }
  }

  private Holder holder(long connectionId) {
    return holders.computeIfAbsent(connectionId, id -> new Holder());
  }

  /** Returns the slots that run or are promised to other connections than one. */
  int busyForOthers(long connectionId) {
    Holder own = holders.get(connectionId);
    return slots - freeSlots() - (own == null ? 0 : own.share());
  }

  void remove(long connectionId) {
    holders.remove(connectionId);
  }

  /** Takes a slot for a task, from the credits of the entry first; returns whether there is one. */
  boolean takeSlot(long connectionId) {
    Holder holder = holder(connectionId);
    boolean hasCredit = holder.credits > 0;
    if (!hasCredit && freeSlots() <= 0) {
      return false;
    }
    holder.credits -= hasCredit ? 1 : 0;
    holder.running++;
    running++;
    return true;
  }

  /** Gives the slot of an ended task back. */
  void releaseSlot(long connectionId) {
    running--;
    Holder holder = holders.get(connectionId);
    if (holder != null && holder.running > 0) {
      holder.running--;
    }
  }

  void returnCredits(long connectionId, int credits) {
    Holder holder = holders.get(connectionId);
    if (holder != null) {
      holder.credits -= Math.min(holder.credits, Math.max(0, credits));
      holder.recalled = false;
    }
  }

  /** Grants free slots: to entries that wait first, then to those with the smallest share. */
  Map<Long, Integer> distribute() {
    Map<Long, Integer> grants = new LinkedHashMap<>();
    int free = freeSlots();
    boolean anyoneSubscribed = holders.values().stream().anyMatch(holder -> holder.subscribed);
    while (free > 0 && anyoneSubscribed) {
      long receiver = neediest();
      holders.get(receiver).credits++;
      grants.merge(receiver, 1, Integer::sum);
      free--;
    }
    return grants;
  }

  private long neediest() {
    boolean someoneWaits = holders.values().stream().anyMatch(holder -> holder.waiting);
    return holders.entrySet().stream()
        .filter(e -> e.getValue().subscribed)
        .filter(e -> e.getValue().waiting || !someoneWaits)
        .min((a, b) -> Integer.compare(a.getValue().share(), b.getValue().share()))
        .orElseThrow()
        .getKey();
  }

  /** A number of credits to ask back from an entry. */
  record Recall(long connectionId, int credits) {}

  /**
   * Returns a recall from an entry that does not wait, while another one waits without a credit.
   */
  Optional<Recall> dueRecall() {
    boolean someoneShort =
        holders.values().stream().anyMatch(holder -> holder.waiting && holder.credits == 0);
    if (!someoneShort || freeSlots() > 0) {
      return Optional.empty();
    }
    for (Map.Entry<Long, Holder> entry : holders.entrySet()) {
      Holder holder = entry.getValue();
      boolean spare = !holder.waiting && !holder.recalled && holder.credits > 0;
      if (spare) {
        holder.recalled = true;
        return Optional.of(new Recall(entry.getKey(), holder.credits));
      }
    }
    return Optional.empty();
  }
}
