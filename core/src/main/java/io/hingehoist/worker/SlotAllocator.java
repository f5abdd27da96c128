package io.hingehoist.worker;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Allocates the slots of a worker to the connections of entries, including those that place work by
 * credit.
 *
 * <p>A slot is in use by a running task or request, held as a credit by one connection, or free. An
 * entry may send one task per credit without asking for a slot first. Not thread-safe: confined to
 * the agent's control thread.
 */
final class SlotAllocator {
  private static final class Holder {
    private int credits;
    private int running;
    private boolean subscribed;
    private boolean waiting;
    private boolean recalled;

    private int slotCount() {
      return credits + running;
    }
  }

  private final int slots;
  private final Map<Long, Holder> holders = new LinkedHashMap<>();
  private int running;

  SlotAllocator(int slots) {
    this.slots = slots;
  }

  int slots() {
    return slots;
  }

  /** Returns the number of slots that are neither in use nor held as credits. */
  int freeSlots() {
    int held = holders.values().stream().mapToInt(holder -> holder.credits).sum();
    return slots - running - held;
  }

  int runningCount() {
    return running;
  }

  /**
   * Updates the demand of an entry, and subscribes it to credits or ends its subscription.
   *
   * @param waiting the number of waiting pieces of work; below 0 to end the subscription
   */
  void updateDemand(long connectionId, int waiting) {
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

  /** Returns the number of slots that connections other than the given one use or hold. */
  int busyForOthers(long connectionId) {
    Holder own = holders.get(connectionId);
    return slots - freeSlots() - (own == null ? 0 : own.slotCount());
  }

  void remove(long connectionId) {
    holders.remove(connectionId);
  }

  /** Acquires a slot, preferably from the connection's credits; returns whether there was one. */
  boolean tryAcquireSlot(long connectionId) {
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

  /** Frees the slot of an ended task or request. */
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

  /**
   * Grants the free slots to subscribed connections: to those with waiting work if there are any,
   * and among these to the one with the fewest slots. Returns the new credits by connection.
   */
  Map<Long, Integer> distribute() {
    Map<Long, Integer> grants = new LinkedHashMap<>();
    int free = freeSlots();
    boolean anySubscribed = holders.values().stream().anyMatch(holder -> holder.subscribed);
    while (free > 0 && anySubscribed) {
      long receiver = nextReceiver();
      holders.get(receiver).credits++;
      grants.merge(receiver, 1, Integer::sum);
      free--;
    }
    return grants;
  }

  private long nextReceiver() {
    boolean anyWaiting = holders.values().stream().anyMatch(holder -> holder.waiting);
    return holders.entrySet().stream()
        .filter(e -> e.getValue().subscribed)
        .filter(e -> e.getValue().waiting || !anyWaiting)
        .min((a, b) -> Integer.compare(a.getValue().slotCount(), b.getValue().slotCount()))
        .orElseThrow()
        .getKey();
  }

  /** A request to a connection to return a number of credits. */
  record Recall(long connectionId, int credits) {}

  /**
   * Returns a recall of credits from a connection without waiting work, if another one has waiting
   * work but no credit.
   */
  Optional<Recall> nextRecall() {
    boolean anyShort =
        holders.values().stream().anyMatch(holder -> holder.waiting && holder.credits == 0);
    if (!anyShort || freeSlots() > 0) {
      return Optional.empty();
    }
    for (Map.Entry<Long, Holder> entry : holders.entrySet()) {
      Holder holder = entry.getValue();
      boolean recallable = !holder.waiting && !holder.recalled && holder.credits > 0;
      if (recallable) {
        holder.recalled = true;
        return Optional.of(new Recall(entry.getKey(), holder.credits));
      }
    }
    return Optional.empty();
  }
}
