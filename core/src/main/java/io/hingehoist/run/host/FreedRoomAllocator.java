package io.hingehoist.run.host;

import io.hingehoist.message.Room;

/**
 * Gives room that becomes free at a full worker to the owner whose work comes first, for a moment:
 * without that it goes to the owner that happens to look first. Owned by {@link WorkerHost}.
 */
final class FreedRoomAllocator {
  private final OwnerSessions sessions;

  FreedRoomAllocator(OwnerSessions sessions) {
    this.sessions = sessions;
  }

  /** Keeps freed room for the owner whose work comes first, if any waits. */
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

  /** Offers room again that an owner made no use of. */
  void reassignExpired(WorkerInstance instance, long nowMs) {
    for (RoomReservations.Expired unused : instance.reservations.removeExpired(nowMs)) {
      sessions
          .find(unused.sessionId())
          .ifPresent(session -> session.clearWaitingTasks(instance.info().service()));
      reserve(instance, unused.room(), nowMs);
    }
  }
}
