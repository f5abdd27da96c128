package io.hingehoist.run.host;

import io.hingehoist.message.Room;

/**
 * Gives room that becomes free at a full worker to the owner whose work comes first, for a moment:
 * without that it goes to the owner that happens to look first. Owned by {@link WorkerHost}.
 */
final class RoomSharing {
  private final OwnerSessions sessions;

  RoomSharing(OwnerSessions sessions) {
    this.sessions = sessions;
  }

  /** Keeps freed room for the owner whose work comes first, if any waits. */
  void offer(WorkerLife life, Room room, long nowMs) {
    String service = life.info().service();
    sessions
        .firstToServe(service)
        .ifPresent(
            session -> {
              session.noteOffered(service);
              life.offers.offer(session.id, room, nowMs);
            });
  }

  /** Offers room again that an owner made no use of. */
  void offerUnused(WorkerLife life, long nowMs) {
    for (RoomOffers.Unused unused : life.offers.takeUnused(nowMs)) {
      sessions
          .find(unused.sessionId())
          .ifPresent(session -> session.forgetWaiting(life.info().service()));
      offer(life, unused.room(), nowMs);
    }
  }
}
