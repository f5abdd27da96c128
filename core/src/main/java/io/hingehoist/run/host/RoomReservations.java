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
final class RoomReservations {
  /** Time for an owner to hear of the reservation and for its order to come back. */
  static final long RESERVATION_MS = 10;

  /** An reservation that its owner made no use of in time. */
  record Expired(long sessionId, Room room) {}

  private static final class Reservation {
    private Room room;
    private long expiresAtMs;
  }

  private final Map<Long, Reservation> bySession = new HashMap<>();

  /** Keeps room for an owner's connection, in addition to what is kept for it already. */
  void reserve(long sessionId, Room room, long nowMs) {
    Reservation reservation = bySession.computeIfAbsent(sessionId, id -> new Reservation());
    boolean goesOn = reservation.room != null && nowMs < reservation.expiresAtMs;
    reservation.room = goesOn ? Rooms.plus(reservation.room, room) : room;
    reservation.expiresAtMs = nowMs + RESERVATION_MS;
  }

  /** Returns the room that is kept for others than a connection. */
  Room reservedForOthers(long sessionId, long nowMs) {
    Room kept = Rooms.none();
    for (Map.Entry<Long, Reservation> entry : bySession.entrySet()) {
      if (entry.getKey() != sessionId && nowMs < entry.getValue().expiresAtMs) {
        kept = Rooms.plus(kept, entry.getValue().room);
      }
    }
    return kept;
  }

  /** Notes that an owner ordered a run; what it was offered goes to that run first. */
  void consume(long sessionId, Room need) {
    Reservation reservation = bySession.get(sessionId);
    if (reservation != null) {
      reservation.room = Rooms.clampToZero(Rooms.minus(reservation.room, need));
      if (reservation.room.equals(Rooms.none())) {
        bySession.remove(sessionId);
      }
    }
  }

  /** Removes the offers whose time is over, and returns them. */
  List<Expired> removeExpired(long nowMs) {
    if (bySession.isEmpty()) {
      return List.of();
    }
    List<Expired> unused = new ArrayList<>();
    bySession.forEach(
        (id, reservation) -> {
          if (nowMs >= reservation.expiresAtMs) {
            unused.add(new Expired(id, reservation.room));
          }
        });
    unused.forEach(reservation -> bySession.remove(reservation.sessionId()));
    return unused;
  }

  /** Drops what is kept for a connection that ended. */
  void forget(long sessionId) {
    bySession.remove(sessionId);
  }
}
