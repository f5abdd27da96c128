package io.hingehoist.run.host;

import io.hingehoist.message.Room;
import io.hingehoist.run.Rooms;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Short reservations of freed room at one worker for the owner with the most urgent waiting tasks.
 *
 * <p>Without them all owners would send orders for the same room, and the first order to arrive
 * would get it, however urgent its tasks are. Not thread-safe: confined to the event-loop thread.
 */
final class RoomReservations {
  /** Enough time for an owner to learn of the reservation and for its order to arrive. */
  static final long RESERVATION_MS = 10;

  /** A reservation that its owner did not use in time. */
  record Expired(long sessionId, Room room) {}

  private static final class Reservation {
    private Room room;
    private long expiresAtMs;
  }

  private final Map<Long, Reservation> bySession = new HashMap<>();

  /** Reserves room for an owner's session, in addition to room already reserved for it. */
  void reserve(long sessionId, Room room, long nowMs) {
    Reservation reservation = bySession.computeIfAbsent(sessionId, id -> new Reservation());
    boolean isValid = reservation.room != null && nowMs < reservation.expiresAtMs;
    reservation.room = isValid ? Rooms.plus(reservation.room, room) : room;
    reservation.expiresAtMs = nowMs + RESERVATION_MS;
  }

  /** Returns the room that is reserved for sessions other than the given one. */
  Room reservedForOthers(long sessionId, long nowMs) {
    Room reserved = Rooms.none();
    for (Map.Entry<Long, Reservation> entry : bySession.entrySet()) {
      if (entry.getKey() != sessionId && nowMs < entry.getValue().expiresAtMs) {
        reserved = Rooms.plus(reserved, entry.getValue().room);
      }
    }
    return reserved;
  }

  /** Uses the reservation of a session for a run that its owner has ordered. */
  void consume(long sessionId, Room need) {
    Reservation reservation = bySession.get(sessionId);
    if (reservation != null) {
      reservation.room = Rooms.clampToZero(Rooms.minus(reservation.room, need));
      if (reservation.room.equals(Rooms.none())) {
        bySession.remove(sessionId);
      }
    }
  }

  /** Removes and returns the expired reservations. */
  List<Expired> removeExpired(long nowMs) {
    if (bySession.isEmpty()) {
      return List.of();
    }
    List<Expired> expired = new ArrayList<>();
    bySession.forEach(
        (id, reservation) -> {
          if (nowMs >= reservation.expiresAtMs) {
            expired.add(new Expired(id, reservation.room));
          }
        });
    expired.forEach(reservation -> bySession.remove(reservation.sessionId()));
    return expired;
  }

  /** Cancels the reservation of a session that has ended. */
  void cancel(long sessionId) {
    bySession.remove(sessionId);
  }
}
