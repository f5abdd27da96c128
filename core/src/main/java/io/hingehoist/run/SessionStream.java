package io.hingehoist.run;

import io.hingehoist.message.Message;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.SessionAck;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.StopRun;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * One end of a session between an owner and a host: the messages that must arrive once and in
 * order, whichever connection carries them.
 *
 * <p>A connection may fall silent without a word, with orders and ends on their way. Each end
 * counts what it sends and what it gets, and keeps what the other has not acknowledged; on the next
 * connection each says how much it has, and gets the rest. Only messages that are said once count:
 * rows, heartbeats and what waits are said again anyway. What is kept is bounded by the lease,
 * after which the session is over. Not thread-safe.
 */
public final class SessionStream {
  /** After how many messages an acknowledgement is due: so few are kept, and one in 32 is added. */
  private static final int ACK_AFTER = 32;

  private final Deque<Message> unacknowledged = new ArrayDeque<>();
  private long sentCount;
  private long receivedCount;
  private long acknowledgedCount;

  private SessionStream() {}

  /** Creates the state of a new session. */
  public static SessionStream create() {
    return new SessionStream();
  }

  /** Notes a message that is sent, on a connection or on the next one. */
  public void recordSent(Message message) {
    if (counts(message)) {
      unacknowledged.add(message);
      sentCount++;
    }
  }

  /** Notes a message that came; returns an acknowledgement where one is due. */
  public Optional<SessionAck> recordReceived(Message message) {
    if (!counts(message)) {
      return Optional.empty();
    }
    receivedCount++;
    if (receivedCount - acknowledgedCount < ACK_AFTER) {
      return Optional.empty();
    }
    acknowledgedCount = receivedCount;
    return Optional.of(new SessionAck(receivedCount));
  }

  /** Returns how many counted messages have come. */
  public long receivedCount() {
    return receivedCount;
  }

  /** Returns how many messages are kept for another connection. */
  public int unacknowledgedCount() {
    return unacknowledged.size();
  }

  /**
   * Forgets what the other end has.
   *
   * @param receivedByOther how many counted messages of this end have come there
   * @return false if that is more than were sent, so that it is not of this session
   */
  public boolean recordAcknowledged(long receivedByOther) {
    if (receivedByOther > sentCount) {
      return false;
    }
    while (sentCount - unacknowledged.size() < receivedByOther) {
      unacknowledged.remove();
    }
    return true;
  }

  /** Returns, in order, the messages that the other end has not acknowledged. */
  public List<Message> unacknowledged() {
    return List.copyOf(unacknowledged);
  }

  private static boolean counts(Message message) {
    return message instanceof StartRuns
        || message instanceof StopRun
        || message instanceof RunEnded
        || message instanceof RunNotStarted
        || message instanceof SessionOpened;
  }
}
