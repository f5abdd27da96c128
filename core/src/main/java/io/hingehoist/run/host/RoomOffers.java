package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import io.hingehoist.run.Rooms;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Room of one worker that was freed and is kept, for a moment, for the owner whose work comes
 * first. Without that, all owners order runs for the same room, and whose order comes first wins,
 * however urgent its work is. Owned by {@link WorkerHost}.
 */
final class RoomOffers {
  /** Time for an owner to hear of the offer and for its order to come back. */
  static final long KEPT_MS = 10;

  /** An offer that its owner made no use of in time. */
  record Unused(long sessionId, Room room) {}

  private static final class Offer {
    private Room room;
    private long untilMs;
  }

  private final Map<Long, Offer> bySession = new HashMap<>();

  /** Keeps room for an owner's connection, in addition to what is kept for it already. */
  void offer(long sessionId, Room room, long nowMs) {
    Offer offer = bySession.computeIfAbsent(sessionId, id -> new Offer());
    boolean goesOn = offer.room != null && nowMs < offer.untilMs;
    offer.room = goesOn ? Rooms.plus(offer.room, room) : room;
    offer.untilMs = nowMs + KEPT_MS;
  }

  /** Returns the room that is kept for others than a connection. */
  Room keptFromOthers(long sessionId, long nowMs) {
    Room kept = Rooms.none();
    for (Map.Entry<Long, Offer> entry : bySession.entrySet()) {
      if (entry.getKey() != sessionId && nowMs < entry.getValue().untilMs) {
        kept = Rooms.plus(kept, entry.getValue().room);
      }
    }
    return kept;
  }

  /** Notes that an owner ordered a run; what it was offered goes to that run first. */
  void taken(long sessionId, Room need) {
    Offer offer = bySession.get(sessionId);
    if (offer != null) {
      offer.room = Rooms.clampToZero(Rooms.minus(offer.room, need));
      if (offer.room.equals(Rooms.none())) {
        bySession.remove(sessionId);
      }
    }
  }

  /** Removes the offers whose time is over, and returns them. */
  List<Unused> takeUnused(long nowMs) {
    if (bySession.isEmpty()) {
      return List.of();
    }
    List<Unused> unused = new ArrayList<>();
    bySession.forEach(
        (id, offer) -> {
          if (nowMs >= offer.untilMs) {
            unused.add(new Unused(id, offer.room));
          }
        });
    unused.forEach(offer -> bySession.remove(offer.sessionId()));
    return unused;
  }

  /** Drops what is kept for a connection that ended. */
  void forget(long sessionId) {
    bySession.remove(sessionId);
  }
}
