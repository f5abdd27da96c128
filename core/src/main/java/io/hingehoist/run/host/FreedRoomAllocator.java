package io.hingehoist.run.host;

import io.hingehoist.message.Room;

/**
 * Reserves room that becomes free at a full worker for the owner with the most urgent waiting
 * tasks.
 *
 * <p>Without the short reservation the room would go to the owner whose order arrives first. Not
 * thread-safe: confined to the event-loop thread.
 */
final class FreedRoomAllocator {
  private final OwnerSessions sessions;

  FreedRoomAllocator(OwnerSessions sessions) {
    this.sessions = sessions;
  }

  /** Reserves freed room for the owner with the most urgent waiting tasks, if there is one. */
  void reserve(WorkerInstance instance, Room room, long nowMs) {
    String service = instance.info().service();
    sessions
        .mostUrgent(service)
        .ifPresent(
            session -> {
              session.recordReservation(service);
              instance.reservations.reserve(session.id, room, nowMs);
            });
  }

  /** Reserves room again whose reservation expired without being used. */
  void reassignExpired(WorkerInstance instance, long nowMs) {
    for (RoomReservations.Expired expired : instance.reservations.removeExpired(nowMs)) {
      sessions
          .find(expired.sessionId())
          .ifPresent(session -> session.clearWaitingTasks(instance.info().service()));
      reserve(instance, expired.room(), nowMs);
    }
  }
}
